// Resource capacities, and the shapes that gangs and guarantees request.
#ifndef FIREFLYDRIFT_CORE_SHAPE_H
#define FIREFLYDRIFT_CORE_SHAPE_H

#include <algorithm>
#include <compare>
#include <cstdint>
#include <limits>

namespace fireflydrift::core {

// Maximum number of tasks in one gang.
inline constexpr std::uint32_t MaxGangTasks = 64;

// An amount of each resource that a target provides. Memory is in mebibytes.
struct Capacity {
  std::int64_t m_Accelerators = 0;
  std::int64_t m_Processors = 0;
  std::int64_t m_MemoryMb = 0;

  // Returns true if each resource is at least that of Needed.
  [[nodiscard]] constexpr bool covers(const Capacity &Needed) const noexcept {
    return m_Accelerators >= Needed.m_Accelerators &&
           m_Processors >= Needed.m_Processors &&
           m_MemoryMb >= Needed.m_MemoryMb;
  }
  // Returns how many times Needed fits, at most the largest 32-bit unsigned
  // integer.
  [[nodiscard]] constexpr std::uint32_t
  count(const Capacity &Needed) const noexcept {
    std::int64_t Fits = std::numeric_limits<std::uint32_t>::max();
    auto Limit = [&Fits](std::int64_t Available, std::int64_t PerUnit) {
      if (PerUnit > 0)
        Fits = std::min(Fits, std::max<std::int64_t>(Available, 0) / PerUnit);
    };
    Limit(m_Accelerators, Needed.m_Accelerators);
    Limit(m_Processors, Needed.m_Processors);
    Limit(m_MemoryMb, Needed.m_MemoryMb);
    return static_cast<std::uint32_t>(Fits);
  }

  friend bool operator==(const Capacity &, const Capacity &) = default;
  friend auto operator<=>(const Capacity &, const Capacity &) = default;
  friend constexpr Capacity operator+(const Capacity &A, const Capacity &B) {
    return {A.m_Accelerators + B.m_Accelerators,
            A.m_Processors + B.m_Processors, A.m_MemoryMb + B.m_MemoryMb};
  }
  friend constexpr Capacity operator-(const Capacity &A, const Capacity &B) {
    return {A.m_Accelerators - B.m_Accelerators,
            A.m_Processors - B.m_Processors, A.m_MemoryMb - B.m_MemoryMb};
  }
  // Returns the smaller amount of each resource.
  friend constexpr Capacity lesser(const Capacity &A, const Capacity &B) {
    return {std::min(A.m_Accelerators, B.m_Accelerators),
            std::min(A.m_Processors, B.m_Processors),
            std::min(A.m_MemoryMb, B.m_MemoryMb)};
  }
  friend constexpr Capacity operator*(const Capacity &A, std::int64_t Times) {
    return {A.m_Accelerators * Times, A.m_Processors * Times,
            A.m_MemoryMb * Times};
  }
};

// Whether a gang's targets should or must be in one rack.
enum class Adjacency : std::uint8_t { None, Preferred, Required };

// The size of a gang: a number of tasks that each need the same capacity.
struct Shape {
  std::uint32_t m_Tasks = 1;
  Capacity m_PerTask;
  Adjacency m_Adjacency = Adjacency::None;

  [[nodiscard]] constexpr Capacity total() const noexcept {
    return m_PerTask * m_Tasks;
  }

  friend bool operator==(const Shape &, const Shape &) = default;
  friend auto operator<=>(const Shape &, const Shape &) = default;
};

} // namespace fireflydrift::core

#endif // FIREFLYDRIFT_CORE_SHAPE_H
