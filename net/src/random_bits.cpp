// The source of randomness of a task.
#include <sycamoremoor/net/random_bits.h>

#include <array>

namespace Sycamoremoor
{

namespace
{

std::mt19937_64 makeEngine()
{
    std::random_device device;
    std::array<std::random_device::result_type, 8> words{};
    for (auto &word : words) {
        word = device();
    }
    std::seed_seq seeds(words.begin(), words.end());
    return std::mt19937_64(seeds);
}

} // namespace

RandomBits::RandomBits()
    : m_engine(makeEngine())
{
}

std::uint64_t RandomBits::operator()()
{
    return m_engine();
}

} // namespace Sycamoremoor
