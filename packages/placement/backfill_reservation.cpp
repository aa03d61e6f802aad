#include "placement/candidates.h"

#include <algorithm>
#include <tuple>

namespace fireflydrift::placement {

using impl::exclusionReason;

namespace {

// Capacity that is released on one target at some time.
struct Release {
  core::Time m_At;
  const TargetUsage *m_Usage = nullptr;
  core::Capacity m_Capacity;
};

// Targets on which a gang may be placed together, with their free capacity.
struct TargetGroup {
  std::map<const TargetUsage *, core::Capacity> m_Free;
  std::vector<Release> m_Releases;
};

} // namespace

static std::uint64_t tasksThatFit(const TargetGroup &Value,
                                  const core::Capacity &PerTask) {
  std::uint64_t Tasks = 0;
  for (const auto &[Usage, Free] : Value.m_Free)
    Tasks += std::min(Free.count(PerTask), core::MaxGangTasks);
  return Tasks;
}

// The targets with most free capacity that together fit the gang.
static std::set<core::TargetId> largestTargets(const TargetGroup &Value,
                                               const core::Shape &Shape) {
  std::vector<std::pair<std::uint32_t, core::TargetId>> Order;
  for (const auto &[Usage, Free] : Value.m_Free)
    Order.emplace_back(Free.count(Shape.m_PerTask), Usage->m_Target.id());
  std::sort(Order.begin(), Order.end(), [](const auto &A, const auto &B) {
    return std::tie(B.first, A.second) < std::tie(A.first, B.second);
  });
  std::set<core::TargetId> Chosen;
  std::uint64_t Total = 0;
  for (const auto &[Tasks, Id] : Order) {
    if (Total >= Shape.m_Tasks)
      break;
    Total += Tasks;
    Chosen.insert(Id);
  }
  return Chosen;
}

// When and where the gang fits into the group as running jobs end, if ever.
static std::optional<BackfillReservation>
earliestFit(TargetGroup Value, const job::Job &Job, core::Time Now) {
  const core::Shape &Shape = Job.spec().m_Shape;
  auto Found = [&](core::Time At) {
    return BackfillReservation{.m_Job = Job.key(),
                               .m_Targets = largestTargets(Value, Shape),
                               .m_Until = std::max(At, Now)};
  };
  std::uint64_t Tasks = tasksThatFit(Value, Shape.m_PerTask);
  if (Tasks >= Shape.m_Tasks)
    return Found(Now);
  std::sort(Value.m_Releases.begin(), Value.m_Releases.end(),
            [](const Release &A, const Release &B) { return A.m_At < B.m_At; });
  for (const Release &Each : Value.m_Releases) {
    core::Capacity &Free = Value.m_Free[Each.m_Usage];
    Tasks -= std::min(Free.count(Shape.m_PerTask), core::MaxGangTasks);
    Free = Free + Each.m_Capacity;
    Tasks += std::min(Free.count(Shape.m_PerTask), core::MaxGangTasks);
    if (Tasks >= Shape.m_Tasks)
      return Found(Each.m_At);
  }
  return std::nullopt;
}

std::optional<BackfillReservation>
reservationFor(const View &Context, const job::Job &Value, core::Time Now) {
  const core::Shape &Shape = Value.spec().m_Shape;
  bool OneRack = Shape.m_Adjacency == core::Adjacency::Required;
  std::map<std::string, TargetGroup> Groups;
  for (const auto &[Id, Each] : Context.m_Fleet->targets()) {
    bool Usable =
        exclusionReason(Context, Each, Value, Now).empty() &&
        Each.m_Target.announcement().m_Capacity.covers(Shape.m_PerTask);
    if (!Usable)
      continue;
    TargetGroup &Group =
        Groups[OneRack ? Each.m_Target.announcement().m_Rack : ""];
    Group.m_Free[&Each] = Each.free();
    for (const JobAllocation &Other : Each.m_Allocations)
      Group.m_Releases.push_back({.m_At = Other.m_ExpectedEnd,
                                  .m_Usage = &Each,
                                  .m_Capacity = Other.m_Capacity});
  }
  std::optional<BackfillReservation> Best;
  for (auto &[Rack, Each] : Groups) {
    auto Found = earliestFit(std::move(Each), Value, Now);
    if (Found && (!Best || Found->m_Until < Best->m_Until))
      Best = std::move(Found);
  }
  return Best;
}

} // namespace fireflydrift::placement
