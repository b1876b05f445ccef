// Checks of the promises on the accounts of all entries together.
#pragma once

#include <sycamoremoor/core/account_type.h>

#include <string>
#include <vector>

namespace Sycamoremoor
{

/** Returns a sentence for each promise that the accounts show broken. */
std::vector<std::string> auditAccounts(const std::vector<AccountReply> &replies);

} // namespace Sycamoremoor
