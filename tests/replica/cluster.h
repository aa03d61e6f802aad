// An in-process cluster of replicas. Tests deliver, delay or drop its messages,
// and a crash discards writes that were not synced.
#ifndef FIREFLYDRIFT_TESTS_REPLICA_CLUSTER_H
#define FIREFLYDRIFT_TESTS_REPLICA_CLUSTER_H

#include "replica/replica.h"

#include <gtest/gtest.h>

#include <string>

namespace fireflydrift::replica {

// The disk of a replica: its synced content, and its content with writes that
// are not synced yet.
struct Disk {
  RecoveredState m_Synced;
  RecoveredState m_Written;
};

inline void writeTo(RecoveredState &State, const Effects &Out) {
  auto TruncateFrom = [&](std::uint64_t Index) {
    while (!State.m_Entries.empty() && State.m_Entries.back().m_Index >= Index)
      State.m_Entries.pop_back();
  };
  if (Out.m_Install) {
    State.m_Snapshot = Out.m_Install->m_Point;
    State.m_Entries.clear();
  }
  if (Out.m_TruncateFrom)
    TruncateFrom(*Out.m_TruncateFrom);
  if (Out.m_HardState)
    State.m_Hard = *Out.m_HardState;
  for (const Entry &Each : Out.m_Append) {
    TruncateFrom(Each.m_Index);
    State.m_Entries.push_back(Each);
  }
}

struct InFlightMessage {
  core::VmId m_From;
  core::VmId m_To;
  Message m_Message;

  friend auto operator<=>(const InFlightMessage &,
                          const InFlightMessage &) = default;
};

struct ClusterOptions {
  std::uint32_t m_Replicas = 3;
  ReplicaOptions m_Replica;
  JoinOptions m_Join;
};

// Checks the safety invariants after every step.
class Cluster {
public:
  explicit Cluster(const ClusterOptions &Options) : m_Options(Options) {
    std::map<core::VmId, Member> All;
    for (std::uint32_t I = 0; I < Options.m_Replicas; ++I) {
      core::VmId Id(std::string(1, static_cast<char>('a' + I)));
      m_Ids.insert(Id);
      All[Id] = {.m_Incarnation = I + 1,
                 .m_Region = "r" + std::to_string(I % 2),
                 .m_FailureDomain = "d" + std::to_string(I),
                 .m_Voter = true};
    }
    for (const auto &[Id, Value] : All) {
      RecoveredState Fresh{
          .m_Hard = {.m_Incarnation = Value.m_Incarnation, .m_Joined = true},
          .m_Snapshot = {.m_Members = Members(All)}};
      m_Disks[Id] = {.m_Synced = Fresh, .m_Written = Fresh};
      restart(Id);
    }
  }

  [[nodiscard]] const std::set<core::VmId> &ids() const { return m_Ids; }
  [[nodiscard]] bool isUp(const core::VmId &Id) const {
    return m_Up.contains(Id);
  }
  [[nodiscard]] const Replica &at(const core::VmId &Id) const {
    return m_Up.at(Id);
  }
  // Returns the leader that holds a lease, or nullptr.
  [[nodiscard]] const Replica *leader() const {
    for (const auto &[Id, Value] : m_Up)
      if (holdsLease(Value, m_Now))
        return &Value;
    return nullptr;
  }
  [[nodiscard]] std::uint64_t acknowledgedCount() const {
    return m_Acknowledged.size();
  }

  // Runs a step with its writes and its sync, or crashes the VM before the
  // sync.
  void step(const core::VmId &Id, const Input &Value, bool CrashBeforeSync) {
    auto Found = m_Up.find(Id);
    if (Found == m_Up.end())
      return;
    Step Next = replica::step(Found->second, Value, m_Now);
    for (const Outgoing &Each : Next.m_Effects.m_Messages)
      if (Each.m_BeforeSync)
        m_InFlight.push_back({Id, Each.m_To, Each.m_Message});
    writeTo(m_Disks[Id].m_Written, Next.m_Effects);
    if (CrashBeforeSync) {
      crash(Id);
      return;
    }
    m_Disks[Id].m_Synced = m_Disks[Id].m_Written;
    Found->second = std::move(Next.m_Replica);
    for (const Outgoing &Each : Next.m_Effects.m_Messages)
      if (!Each.m_BeforeSync)
        m_InFlight.push_back({Id, Each.m_To, Each.m_Message});
    for (const core::VmId &To : Next.m_Effects.m_SnapshotRecipients)
      sendSnapshot(Id, To);
    recordCommitted(Id, Next.m_Effects);
    bool Wrote = !Next.m_Effects.m_Append.empty();
    if (Wrote)
      step(Id, Synced{.m_Index = Found->second.m_Log.lastIndex()}, false);
    checkInvariants();
  }

  void crash(const core::VmId &Id) {
    m_Up.erase(Id);
    m_Disks[Id].m_Written = m_Disks[Id].m_Synced;
    std::erase_if(m_InFlight,
                  [&](const InFlightMessage &Each) { return Each.m_To == Id; });
  }
  void restart(const core::VmId &Id) {
    ReplicaOptions Options = m_Options.m_Replica;
    Options.m_Seed += std::hash<std::string>()(Id.text());
    m_Up[Id] = start({.m_Self = Id,
                      .m_Region = "r",
                      .m_FailureDomain = "d" + Id.text(),
                      .m_KnownPeers = m_Listed.empty() ? m_Ids : m_Listed,
                      .m_Join = m_Options.m_Join},
                     Options, m_Disks[Id].m_Synced, m_Now);
  }
  // Replaces a VM by one with the same address and an empty disk.
  void replaceDisk(const core::VmId &Id) {
    crash(Id);
    RecoveredState Empty{.m_Hard = {.m_Incarnation = ++m_NextIncarnation}};
    m_Disks[Id] = {.m_Synced = Empty, .m_Written = Empty};
    restart(Id);
  }

  // Adds a VM that the settings of the others do not list; its own settings
  // list the others.
  void addUnlistedVm(const core::VmId &Id) {
    m_Listed = m_Ids;
    m_Ids.insert(Id);
    replaceDisk(Id);
  }

  void propose(const core::VmId &Id) {
    step(Id, Propose{.m_Commands = "c" + std::to_string(++m_Proposed)}, false);
  }
  void advance(core::Duration By) { m_Now += By; }
  void tickAll() {
    for (const core::VmId &Id : m_Ids)
      step(Id, Tick{}, false);
  }
  // Delivers the in-flight message at this position of the queue.
  void deliver(std::size_t Index) {
    InFlightMessage Each = m_InFlight.at(Index);
    m_InFlight.erase(m_InFlight.begin() + static_cast<std::ptrdiff_t>(Index));
    if (!m_Disconnected.contains({Each.m_From, Each.m_To}))
      step(Each.m_To,
           Received{.m_From = Each.m_From, .m_Message = Each.m_Message}, false);
  }
  void drop(std::size_t Index) {
    m_InFlight.erase(m_InFlight.begin() + static_cast<std::ptrdiff_t>(Index));
  }
  void deliverAll() {
    for (int Rounds = 0; Rounds < 2000 && !m_InFlight.empty(); ++Rounds)
      deliver(0);
  }
  // Advances the time in small steps and delivers all messages after each.
  void run(core::Duration TotalTime) {
    constexpr core::Duration Step{50};
    for (core::Duration Passed{0}; Passed < TotalTime; Passed += Step) {
      advance(Step);
      tickAll();
      deliverAll();
    }
  }
  void disconnect(const core::VmId &A, const core::VmId &B) {
    m_Disconnected.insert({A, B});
    m_Disconnected.insert({B, A});
  }
  void healPartitions() { m_Disconnected.clear(); }

  std::vector<InFlightMessage> m_InFlight;
  core::Time m_Now = core::timeFromMs(1000000);

private:
  void sendSnapshot(const core::VmId &From, const core::VmId &To) {
    const Replica &Self = m_Up.at(From);
    m_InFlight.push_back(
        {From, To,
         InstallSnapshot{
             .m_Term = Self.m_Hard.m_Term,
             .m_Point = {.m_Index = Self.m_Commit,
                         .m_Term = *Self.m_Log.termAt(Self.m_Commit),
                         .m_Members = Self.m_Log.membersAt(Self.m_Commit)},
             .m_SentAt = m_Now,
             .m_State = "state"}});
  }

  void recordCommitted(const core::VmId &Id, const Effects &Out) {
    for (const Entry &Each : Out.m_Committed) {
      auto [Known, New] = m_Committed.emplace(Each.m_Index, Each);
      EXPECT_EQ(Known->second, Each)
          << "replica " << Id.text()
          << " committed a different entry at the same index";
    }
    if (m_Up.at(Id).m_Role == Role::Leader)
      for (const Entry &Each : Out.m_Committed)
        m_Acknowledged.insert(Each.m_Index);
  }

  void checkInvariants() {
    std::map<std::uint64_t, core::VmId> LeaderOf;
    int Leases = 0;
    for (const auto &[Id, Value] : m_Up) {
      Leases += holdsLease(Value, m_Now) ? 1 : 0;
      if (Value.m_Role != Role::Leader)
        continue;
      auto [Other, New] = m_LeaderOf.emplace(Value.m_Hard.m_Term, Id);
      EXPECT_EQ(Other->second, Id)
          << "two leaders in term " << Value.m_Hard.m_Term;
    }
    if (m_Options.m_Replica.m_ElectionTimeout > core::Duration::zero()) {
      EXPECT_LE(Leases, 1) << "two leaders hold a lease at once";
    }
    // The log of a leader must reach the last acknowledged entry if the
    // leader's term is not older than that entry's. recordCommitted compares
    // the content.
    for (const auto &[Id, Value] : m_Up)
      if (Value.m_Role == Role::Leader && !m_Acknowledged.empty() &&
          Value.m_Hard.m_Term >=
              m_Committed.at(*m_Acknowledged.rbegin()).m_Term) {
        EXPECT_GE(Value.m_Log.lastIndex(), *m_Acknowledged.rbegin());
      }
  }

  ClusterOptions m_Options;
  std::set<core::VmId> m_Ids;
  // The VMs that the settings list if an unlisted VM was added; empty if none
  // was.
  std::set<core::VmId> m_Listed;
  std::map<core::VmId, Replica> m_Up;
  std::map<core::VmId, Disk> m_Disks;
  std::set<std::pair<core::VmId, core::VmId>> m_Disconnected;
  std::map<std::uint64_t, Entry> m_Committed;
  std::set<std::uint64_t> m_Acknowledged;
  std::map<std::uint64_t, core::VmId> m_LeaderOf;
  std::uint64_t m_NextIncarnation = 100;
  int m_Proposed = 0;
};

} // namespace fireflydrift::replica

#endif // FIREFLYDRIFT_TESTS_REPLICA_CLUSTER_H
