// Base64 by OpenSSL's block functions.
#include <sycamoremoor/wire/base64_func.h>

#include <openssl/evp.h>

namespace Sycamoremoor
{

namespace
{

constexpr std::size_t BytesPerGroup = 3;
constexpr std::size_t CharactersPerGroup = 4;

} // namespace

std::string toBase64(std::string_view bytes)
{
    std::string text(((bytes.size() + BytesPerGroup - 1) / BytesPerGroup * CharactersPerGroup) + 1, '\0');
    const auto length = EVP_EncodeBlock(reinterpret_cast<unsigned char *>(text.data()),
                                        reinterpret_cast<const unsigned char *>(bytes.data()),
                                        static_cast<int>(bytes.size()));
    text.resize(static_cast<std::size_t>(length));
    return text;
}

std::optional<std::string> fromBase64(std::string_view text)
{
    if (text.empty()) {
        return std::string();
    }
    if (text.size() % CharactersPerGroup != 0) {
        return std::nullopt;
    }
    std::size_t padding = 0;
    while (padding < 2 && text[text.size() - 1 - padding] == '=') {
        ++padding;
    }
    std::string bytes(text.size() / CharactersPerGroup * BytesPerGroup, '\0');
    const auto length = EVP_DecodeBlock(reinterpret_cast<unsigned char *>(bytes.data()),
                                        reinterpret_cast<const unsigned char *>(text.data()),
                                        static_cast<int>(text.size()));
    if (length < 0) {
        return std::nullopt;
    }
    bytes.resize(static_cast<std::size_t>(length) - padding);
    return bytes;
}

} // namespace Sycamoremoor
