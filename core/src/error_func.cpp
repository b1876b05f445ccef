// Lookups in the error table, and the std::error_category of error kinds.
#include <sycamoremoor/core/error_type.h>
#include <sycamoremoor/core/table/error_table.h>

#include <string>

namespace Sycamoremoor
{

namespace
{

class ErrorCategory : public std::error_category
{
public:
    [[nodiscard]] const char *name() const noexcept override
    {
        return "sycamoremoor";
    }

    [[nodiscard]] std::string message(int value) const override
    {
        return std::string(errorRow(static_cast<ErrorKind>(value)).text);
    }
};

constexpr std::array<std::string_view, static_cast<std::size_t>(RunState::End)> RunStateNames{"not_run", "ran", "unknown"};

} // namespace

const ErrorRow &errorRow(ErrorKind kind)
{
    const auto row = static_cast<std::size_t>(kind);
    if (row >= ErrorTable.size()) {
        return ErrorTable.at(static_cast<std::size_t>(ErrorKind::Internal));
    }
    return ErrorTable.at(row);
}

ErrorKind errorKindFromCode(std::string_view code)
{
    for (const auto &row : ErrorTable) {
        if (row.code == code) {
            return row.kind;
        }
    }
    return ErrorKind::Internal;
}

std::string_view runStateName(RunState state)
{
    return RunStateNames.at(static_cast<std::size_t>(state));
}

const std::error_category &errorCategory()
{
    static const ErrorCategory category;
    return category;
}

std::error_code make_error_code(ErrorKind kind)
{
    return {static_cast<int>(kind), errorCategory()};
}

} // namespace Sycamoremoor
