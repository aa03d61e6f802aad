// The memory that the HTTP connections of a process may hold together, and
// which connections to close when they hold more.
#ifndef FIREFLYDRIFT_ROUTING_MEMORY_BUDGET_H
#define FIREFLYDRIFT_ROUTING_MEMORY_BUDGET_H

#include "core/time.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace fireflydrift::routing {

// Why a connection is closed.
enum class CloseCause : std::uint8_t { Budget, Timeout, TooLarge };

[[nodiscard]] const char *toString(CloseCause Cause) noexcept;

// What one connection holds.
struct ConnectionLoad {
  std::uint64_t m_Id = 0;
  // Index in MemoryBudgetOptions::m_Listeners.
  std::size_t m_Listener = 0;
  // Bytes buffered for requests and responses.
  std::size_t m_Bytes = 0;
  // When the connection opened, or its client last took a part of a response
  // that is being sent.
  core::Time m_Since;
  // Whether one of its requests was accepted and has no response yet.
  bool m_Handling = false;
  // Whether a response is being sent.
  bool m_Responding = false;

  friend bool operator==(const ConnectionLoad &,
                         const ConnectionLoad &) = default;
};

struct ListenerLimits {
  // Whether the listener may use the operators' part of the budget.
  bool m_ForOperators = false;
  // Maximum for one connection in bytes.
  std::size_t m_MaxConnectionBytes = 0;

  friend bool operator==(const ListenerLimits &,
                         const ListenerLimits &) = default;
};

struct MemoryBudgetOptions {
  // Maximum for all connections in bytes.
  std::size_t m_MaxBytes = 0;
  // Percentage of it that only listeners for operators may use.
  std::uint32_t m_OperatorPercent = 25;
  // Time for which a client may leave its response unread.
  core::Duration m_ResponseTimeout{10000};
  std::vector<ListenerLimits> m_Listeners;

  friend bool operator==(const MemoryBudgetOptions &,
                         const MemoryBudgetOptions &) = default;
};

struct ClosedConnection {
  std::uint64_t m_Id = 0;
  std::size_t m_Listener = 0;
  CloseCause m_Cause = CloseCause::Budget;

  friend bool operator==(const ClosedConnection &,
                         const ClosedConnection &) = default;
};

// The default budget of a VM with this much memory, in bytes: an eighth of it,
// at least 16 MiB and at most 32 MiB.
[[nodiscard]] std::size_t defaultMemoryBudget(std::size_t VmBytes) noexcept;
// The bytes that all listeners that are not for operators may use together.
[[nodiscard]] std::size_t
callersBudget(const MemoryBudgetOptions &Options) noexcept;
// The largest number of bytes that a connection holds whose requests have
// bodies of at most MaxBodyBytes.
[[nodiscard]] std::size_t maxConnectionBytes(std::size_t MaxBodyBytes) noexcept;

// The connections to close at Now: those that hold more than the maximum for
// one connection, those whose clients don't read their responses, and while the
// others exceed the budget, those that hold the most bytes. A connection whose
// request is being handled is never returned.
[[nodiscard]] std::vector<ClosedConnection>
connectionsToClose(std::vector<ConnectionLoad> Connections,
                   const MemoryBudgetOptions &Options, core::Time Now);

// Whether a listener may accept connections: the budget open to it is not used
// up by connections that can't be closed because their requests are handled.
[[nodiscard]] bool mayAccept(const std::vector<ConnectionLoad> &Connections,
                             const MemoryBudgetOptions &Options,
                             std::size_t Listener) noexcept;

} // namespace fireflydrift::routing

#endif // FIREFLYDRIFT_ROUTING_MEMORY_BUDGET_H
