// What a VM does as entry: holds requests for callers, passes them to the
// leader, and collects signs of life of targets.
#ifndef FIREFLYDRIFT_RUNTIME_ENTRY_H
#define FIREFLYDRIFT_RUNTIME_ENTRY_H

#include "messages/codec.h"
#include "messages/json.h"
#include "routing/admission.h"
#include "routing/forwarding.h"
#include "runtime/counters.h"

#include <functional>

namespace fireflydrift::runtime {

struct EntryOptions {
  routing::AdmissionOptions m_Admission;
  routing::RetryOptions m_Retry;
  routing::HeartbeatOptions m_Signs;
  // Longest time until an operation is decided, beside what it waits itself.
  core::Duration m_Deadline{10000};
  // Lease that targets are told to renew.
  core::Duration m_Lease{15000};

  friend bool operator==(const EntryOptions &, const EntryOptions &) = default;
};

class Entry {
public:
  using Send = std::function<void(const core::VmId &, messages::Body)>;
  using OnReply = std::function<void(control::Reply)>;

  Entry(EntryOptions Options, Counters &Counts, Send Sender);

  [[nodiscard]] const routing::Admission &admission() const noexcept {
    return m_Admission;
  }
  [[nodiscard]] std::size_t held() const noexcept { return m_Held.size(); }
  // Why a request of the workspace is not taken now; code None when it is.
  [[nodiscard]] core::Reason admit(const core::WorkspaceId &Id,
                                   core::Time Now) const;
  // Why this VM has no room for one more request; code None when it has.
  [[nodiscard]] core::Reason checkCapacity() const;
  // What a target that reports is answered.
  [[nodiscard]] messages::ReportReply reportReply(const core::TargetId &Id,
                                                  core::Time Now) const;

  // True while this VM hears of a leader that holds its lease.
  [[nodiscard]] bool hasCurrentLeader(core::Time Now) const {
    return Now - m_Admission.m_LeaderHeardAt <=
           m_Options.m_Admission.m_LeaderTimeout;
  }

  // Holds an operation until it has a reply, and replies once; Within the time
  // that its caller waits, where that is known.
  void submit(control::Operation Value, const core::WorkspaceId &Holder,
              OnReply Callback, core::Time Now,
              std::optional<core::Duration> Within = std::nullopt);
  void complete(std::uint64_t Id, control::Reply Value, core::Time Now);
  void bounced(std::uint64_t Id, core::Time Now);
  // A leader that holds its lease confirmed this VM's configuration.
  void heardLeader(core::Time Now);
  void heardTarget(const core::TargetId &Id, core::Time Now);
  void targetAnnounced(const core::TargetId &Id);
  // The leader gave the target up; it must announce itself anew.
  void forgetTarget(const core::TargetId &Id) { m_Announced.erase(Id); }
  // The leader asks for a full summary.
  void askedForSigns() noexcept { m_FullSummary = true; }
  void drain() noexcept { m_Admission.m_Draining = true; }
  // Sends what is due to the leader, which may be this VM itself.
  void tick(const core::VmId &Leader, core::Time Now);

private:
  struct Held {
    control::Operation m_Operation;
    core::WorkspaceId m_Holder;
    OnReply m_Callback;
    core::Time m_Since;
  };

  void forward(const core::VmId &Leader, core::Time Now);
  void summarise(const core::VmId &Leader, core::Time Now);

  EntryOptions m_Options;
  Counters &m_Counters;
  Send m_Send;
  routing::Admission m_Admission;
  routing::Forwarding m_Forwarding;
  routing::EntryHeartbeats m_Signs;
  std::map<std::uint64_t, Held> m_Held;
  std::uint64_t m_NextId = 0;
  core::VmId m_SummaryLeader;
  bool m_FullSummary = true;
  std::set<core::TargetId> m_Announced;
};

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_ENTRY_H
