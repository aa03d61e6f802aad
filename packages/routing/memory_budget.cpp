#include "routing/memory_budget.h"

#include <algorithm>
#include <optional>
#include <utility>

namespace fireflydrift::routing {

static constexpr std::size_t MiB = std::size_t{1} << 20;

const char *toString(CloseCause Cause) noexcept {
  switch (Cause) {
  case CloseCause::Budget:
    return "budget";
  case CloseCause::Timeout:
    return "timeout";
  case CloseCause::TooLarge:
    return "too_large";
  }
  return "budget";
}

std::size_t defaultMemoryBudget(std::size_t VmBytes) noexcept {
  constexpr std::size_t Part = 8;
  constexpr std::size_t Min = 16 * MiB;
  constexpr std::size_t Max = 32 * MiB;
  return std::clamp(VmBytes / Part, Min, Max);
}

std::size_t callersBudget(const MemoryBudgetOptions &Options) noexcept {
  constexpr std::size_t Percent = 100;
  return Options.m_MaxBytes / Percent * (Percent - Options.m_OperatorPercent);
}

std::size_t maxConnectionBytes(std::size_t MaxBodyBytes) noexcept {
  // Headers of a request, what is read of pipelined requests behind it, and
  // encrypted input.
  constexpr std::size_t Rest = MiB / 2;
  // Buffers double their capacity when they grow.
  return 2 * (MaxBodyBytes + Rest);
}

// ---- Which to close --------------------------------------------------------

static bool isForOperators(const ConnectionLoad &Value,
                           const MemoryBudgetOptions &Options) {
  return Options.m_Listeners[Value.m_Listener].m_ForOperators;
}

// Why a connection is closed whatever the others hold.
static std::optional<CloseCause> violation(const ConnectionLoad &Value,
                                           const MemoryBudgetOptions &Options,
                                           core::Time Now) {
  if (Value.m_Handling)
    return std::nullopt;
  // The limit is that of a request; a response may be larger.
  if (!Value.m_Responding &&
      Value.m_Bytes >
          Options.m_Listeners[Value.m_Listener].m_MaxConnectionBytes)
    return CloseCause::TooLarge;
  if (Value.m_Responding && Now - Value.m_Since >= Options.m_ResponseTimeout)
    return CloseCause::Timeout;
  return std::nullopt;
}

namespace {

struct HeldBytes {
  std::size_t m_All = 0;
  // Part of it that is held through listeners that are not for operators.
  std::size_t m_Callers = 0;
};

} // namespace

static void add(HeldBytes &Held, const ConnectionLoad &Value,
                const MemoryBudgetOptions &Options) {
  Held.m_All += Value.m_Bytes;
  Held.m_Callers += isForOperators(Value, Options) ? 0 : Value.m_Bytes;
}

static HeldBytes sum(const std::vector<ConnectionLoad> &Connections,
                     const MemoryBudgetOptions &Options) {
  HeldBytes Held;
  for (const ConnectionLoad &Each : Connections)
    add(Held, Each, Options);
  return Held;
}

std::vector<ClosedConnection>
connectionsToClose(std::vector<ConnectionLoad> Connections,
                   const MemoryBudgetOptions &Options, core::Time Now) {
  std::vector<ClosedConnection> Closed;
  std::erase_if(Connections, [&](const ConnectionLoad &Each) {
    auto Cause = violation(Each, Options, Now);
    if (Cause)
      Closed.push_back({Each.m_Id, Each.m_Listener, *Cause});
    return Cause.has_value();
  });
  HeldBytes Held = sum(Connections, Options);
  if (Held.m_All <= Options.m_MaxBytes &&
      Held.m_Callers <= callersBudget(Options))
    return Closed;
  std::erase_if(Connections, [](const ConnectionLoad &Each) {
    return Each.m_Handling || Each.m_Bytes == 0;
  });
  std::sort(Connections.begin(), Connections.end(),
            [](const ConnectionLoad &A, const ConnectionLoad &B) {
              return std::pair(B.m_Bytes, A.m_Id) <
                     std::pair(A.m_Bytes, B.m_Id);
            });
  auto CloseWhile = [&](auto IsExceeded) {
    std::erase_if(Connections, [&](const ConnectionLoad &Each) {
      if (!IsExceeded(Each))
        return false;
      Held.m_All -= Each.m_Bytes;
      Held.m_Callers -= isForOperators(Each, Options) ? 0 : Each.m_Bytes;
      Closed.push_back({Each.m_Id, Each.m_Listener, CloseCause::Budget});
      return true;
    });
  };
  // Callers first return to their part, so that operators keep theirs.
  CloseWhile([&](const ConnectionLoad &Each) {
    return Held.m_Callers > callersBudget(Options) &&
           !isForOperators(Each, Options);
  });
  CloseWhile(
      [&](const ConnectionLoad &) { return Held.m_All > Options.m_MaxBytes; });
  return Closed;
}

bool mayAccept(const std::vector<ConnectionLoad> &Connections,
               const MemoryBudgetOptions &Options,
               std::size_t Listener) noexcept {
  HeldBytes Handled;
  for (const ConnectionLoad &Each : Connections)
    if (Each.m_Handling)
      add(Handled, Each, Options);
  return Handled.m_All < Options.m_MaxBytes &&
         (Options.m_Listeners[Listener].m_ForOperators ||
          Handled.m_Callers < callersBudget(Options));
}

} // namespace fireflydrift::routing
