// Serves an entry's reads and writes of the platform's key-value service.
#pragma once

#include <sycamoremoor/core/entry_input_type.h>
#include <sycamoremoor/core/entry_output_type.h>

#include <sigc++/signal.h>

namespace Sycamoremoor
{

class KeyValueClient;

/** Knows the keys of docs/DESIGN.md and the form of their values. */
class PlatformTask
{
public:
    explicit PlatformTask(KeyValueClient &client);

    /** Emitted for the end of each read and write. */
    sigc::signal<void(EntryInput)> &signalInput();

    void carryOut(const ReadHead &output);
    void carryOut(const WriteRoster &output);
    void carryOut(const ReadConfig &output);
    void carryOut(const ReadSlotAgents &output);
    void carryOut(const WriteSlotAgents &output);

private:
    KeyValueClient &m_client;
    sigc::signal<void(EntryInput)> m_input;
};

} // namespace Sycamoremoor
