#include "routing/forwarding.h"

namespace fireflydrift::routing {

bool wasRetried(const Forwarding &Value, std::uint64_t Id) {
  auto Found = Value.m_Pending.find(Id);
  return Found != Value.m_Pending.end() && Found->second.m_Tries > 1;
}

Forwarding added(Forwarding Before, std::uint64_t Id, core::Time Deadline,
                 core::Time Now) {
  Before.m_Pending.emplace(Id,
                           Pending{.m_Deadline = Deadline, .m_NextAt = Now});
  return Before;
}

Forwarding removed(Forwarding Before, std::uint64_t Id) {
  Before.m_Pending.erase(Id);
  return Before;
}

Forwarding rejectedByNonLeader(Forwarding Before, std::uint64_t Id,
                               const RetryOptions &Options, core::Time Now) {
  auto Found = Before.m_Pending.find(Id);
  if (Found == Before.m_Pending.end())
    return Before;
  Found->second.m_SentTo = {};
  Found->second.m_NextAt = Now + retryDelay(Options, Id, 1);
  return Before;
}

Forwarding unacknowledged(Forwarding Before, std::uint64_t Id,
                          const core::VmId &To, core::Time Now) {
  auto Found = Before.m_Pending.find(Id);
  if (Found == Before.m_Pending.end())
    return Before;
  Pending &Value = Found->second;
  if (Value.m_SentTo != To || Value.m_Tries > 1)
    return Before;
  Value.m_SentTo = {};
  Value.m_NextAt = Now;
  return Before;
}

// Returns true if the operation was last sent to another leader, which may have
// failed.
static bool hasNewLeader(const Pending &Value, const core::VmId &Leader) {
  return !Value.m_SentTo.empty() && Value.m_SentTo != Leader;
}

static bool isDue(const Pending &Value, const core::VmId &Leader,
                  core::Time Now) {
  if (Leader.empty())
    return false;
  return hasNewLeader(Value, Leader) || Now >= Value.m_NextAt;
}

ForwardingStep dispatchDue(Forwarding Before, const core::VmId &Leader,
                           const RetryOptions &Options, core::Time Now) {
  ForwardingStep Out;
  for (auto &[Id, Value] : Before.m_Pending) {
    if (Now >= Value.m_Deadline) {
      Out.m_Expired.push_back({.m_Id = Id, .m_WasSent = Value.m_Tries > 0});
      continue;
    }
    if (!isDue(Value, Leader, Now))
      continue;
    if (Value.m_Tries == 0) {
      Before.m_Budget = afterFirstTry(Before.m_Budget, Options);
    } else if (Value.m_SentTo == Leader) {
      // The budget limits only repeated attempts at the same leader: a new
      // leader has not received the operation yet, and a VM that rejected it as
      // non-leader did not process it.
      auto Left = afterRetry(Before.m_Budget);
      if (!Left) {
        Value.m_NextAt = Now + retryDelay(Options, Id, Value.m_Tries);
        continue;
      }
      Before.m_Budget = *Left;
    }
    ++Value.m_Tries;
    Value.m_SentTo = Leader;
    Value.m_NextAt = Now + retryDelay(Options, Id, Value.m_Tries);
    Out.m_Send.push_back(Id);
  }
  for (const Expired &Each : Out.m_Expired)
    Before.m_Pending.erase(Each.m_Id);
  Out.m_Forwarding = std::move(Before);
  return Out;
}

} // namespace fireflydrift::routing
