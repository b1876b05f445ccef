// What an entry spends: processor time with the codec, bytes of JSON, heap.
#include "entry_harness.h"
#include "meter_func.h"
#include "slope_measures.h"

#include <array>

namespace Sycamoremoor
{

namespace
{

constexpr std::array<std::size_t, 5> Sizes{16, 32, 64, 128, 256};
constexpr std::size_t TasksPerJob = 20;
constexpr std::size_t PayloadBytes = 165;

/** Adds a point to a slope. */
void add(Slope &slope, double size, double value)
{
    slope.points.push_back(SlopePoint{size, value});
}

void measureHeartbeats(std::vector<Slope> &slopes)
{
    Slope memory{"entry heap per known worker", "bytes", {}};
    Slope time{"processor time per heartbeat, core of the entry, codec of both ends", "us", {}};
    Slope bytes{"JSON per heartbeat and its answer", "bytes", {}};
    constexpr std::size_t Rounds = 200;
    for (const auto size : Sizes) {
        EntryHarness entry;
        const auto before = heapBytes();
        entry.heartbeats(size);
        add(memory, static_cast<double>(size), heapBytes() - before);
        std::size_t sent = 0;
        const auto spent = processorMicroseconds([&] {
            for (std::size_t round = 0; round < Rounds; ++round) {
                sent = entry.heartbeats(size);
            }
        });
        add(time, static_cast<double>(size), spent / Rounds);
        add(bytes, static_cast<double>(size), static_cast<double>(sent));
    }
    slopes.insert(slopes.end(), {memory, time, bytes});
}

void measureTasks(std::vector<Slope> &slopes)
{
    Slope time{"processor time per task, core of the entry, codec of both ends", "us", {}};
    Slope bytes{"JSON per task: start and report", "bytes", {}};
    Slope waiting{"entry heap per waiting task of 165 bytes", "bytes", {}};
    Slope kept{"entry heap per task of a kept answer, 41 bytes of result", "bytes", {}};
    for (const auto size : Sizes) {
        EntryHarness entry;
        entry.heartbeats(128);
        const auto empty = heapBytes();
        std::size_t sent = 0;
        double waitingBytes = 0;
        const auto spent = processorMicroseconds([&] {
            for (std::size_t job = 0; job < size; ++job) {
                entry.submit(TasksPerJob, PayloadBytes);
            }
            waitingBytes = heapBytes() - empty;
            sent = entry.finishAll();
        });
        const auto tasks = static_cast<double>(size * TasksPerJob);
        add(time, tasks, spent);
        add(bytes, tasks, static_cast<double>(sent));
        add(waiting, tasks, waitingBytes);
        add(kept, tasks, heapBytes() - empty);
    }
    slopes.insert(slopes.end(), {time, bytes, waiting, kept});
}

} // namespace

std::vector<Slope> measureEntry()
{
    std::vector<Slope> slopes;
    measureHeartbeats(slopes);
    measureTasks(slopes);
    return slopes;
}

} // namespace Sycamoremoor
