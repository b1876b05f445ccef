// Lookup of queues by host and path.
#include <sycamoremoor/core/queue_type.h>

namespace Sycamoremoor
{

const QueueRecord *findQueue(const QueueSet &set, std::string_view host, std::string_view path)
{
    const QueueRecord *found = nullptr;
    for (const auto &queue : set.queues) {
        const bool matches = queue.host == host && path.starts_with(queue.prefix);
        if (matches && (found == nullptr || queue.prefix.size() > found->prefix.size())) {
            found = &queue;
        }
    }
    return found;
}

} // namespace Sycamoremoor
