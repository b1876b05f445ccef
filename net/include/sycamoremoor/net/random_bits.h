// The source of randomness of a task.
#pragma once

#include <cstdint>
#include <random>

namespace Sycamoremoor
{

/** Random bits, seeded by the operating system. Belongs to one thread. */
class RandomBits
{
public:
    RandomBits();

    /** Returns 64 random bits. */
    std::uint64_t operator()();

private:
    std::mt19937_64 m_engine;
};

} // namespace Sycamoremoor
