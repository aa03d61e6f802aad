#include "placement/candidates.h"

#include <algorithm>
#include <tuple>

namespace fireflydrift::placement {

using impl::unmetRule;

namespace {

// Capacity of one target that comes free at some time.
struct Release {
  core::Time m_At;
  const TargetUsage *m_Slot = nullptr;
  core::Capacity m_Capacity;
};

// Targets among which a gang may be placed, and how much is free on each.
struct Pool {
  std::map<const TargetUsage *, core::Capacity> m_Free;
  std::vector<Release> m_Releases;
};

} // namespace

static std::uint64_t roomIn(const Pool &Value, const core::Capacity &PerTask) {
  std::uint64_t Room = 0;
  for (const auto &[Slot, Free] : Value.m_Free)
    Room += std::min(Free.count(PerTask), core::MaxGangTasks);
  return Room;
}

// The targets with most room that together fit the gang.
static std::set<core::TargetId> roomiest(const Pool &Value,
                                         const core::Shape &Shape) {
  std::vector<std::pair<std::uint32_t, core::TargetId>> Order;
  for (const auto &[Slot, Free] : Value.m_Free)
    Order.emplace_back(Free.count(Shape.m_PerTask), Slot->m_Target.id());
  std::sort(Order.begin(), Order.end(), [](const auto &A, const auto &B) {
    return std::tie(B.first, A.second) < std::tie(A.first, B.second);
  });
  std::set<core::TargetId> Chosen;
  std::uint64_t Room = 0;
  for (const auto &[Tasks, Id] : Order) {
    if (Room >= Shape.m_Tasks)
      break;
    Room += Tasks;
    Chosen.insert(Id);
  }
  return Chosen;
}

// When and where the gang fits into the pool as its work ends, if ever.
static std::optional<BackfillReservation>
fitsLater(Pool Value, const job::Job &For, core::Time Now) {
  const core::Shape &Shape = For.spec().m_Shape;
  auto Found = [&](core::Time At) {
    return BackfillReservation{.m_Job = For.key(),
                               .m_Targets = roomiest(Value, Shape),
                               .m_Until = std::max(At, Now)};
  };
  std::uint64_t Room = roomIn(Value, Shape.m_PerTask);
  if (Room >= Shape.m_Tasks)
    return Found(Now);
  std::sort(Value.m_Releases.begin(), Value.m_Releases.end(),
            [](const Release &A, const Release &B) { return A.m_At < B.m_At; });
  for (const Release &Each : Value.m_Releases) {
    core::Capacity &Free = Value.m_Free[Each.m_Slot];
    Room -= std::min(Free.count(Shape.m_PerTask), core::MaxGangTasks);
    Free = Free + Each.m_Capacity;
    Room += std::min(Free.count(Shape.m_PerTask), core::MaxGangTasks);
    if (Room >= Shape.m_Tasks)
      return Found(Each.m_At);
  }
  return std::nullopt;
}

std::optional<BackfillReservation>
holdFor(const View &All, const job::Job &Value, core::Time Now) {
  const core::Shape &Shape = Value.spec().m_Shape;
  bool OneRack = Shape.m_Adjacency == core::Adjacency::Required;
  std::map<std::string, Pool> Pools;
  for (const auto &[Id, Each] : All.m_Fleet->targets()) {
    bool Usable =
        unmetRule(All, Each, Value, Now).empty() &&
        Each.m_Target.announcement().m_Capacity.covers(Shape.m_PerTask);
    if (!Usable)
      continue;
    Pool &Into = Pools[OneRack ? Each.m_Target.announcement().m_Rack : ""];
    Into.m_Free[&Each] = Each.free();
    for (const JobAllocation &Other : Each.m_Allocations)
      Into.m_Releases.push_back({.m_At = Other.m_ExpectedEnd,
                                 .m_Slot = &Each,
                                 .m_Capacity = Other.m_Capacity});
  }
  std::optional<BackfillReservation> Best;
  for (auto &[Rack, Each] : Pools) {
    auto Found = fitsLater(std::move(Each), Value, Now);
    if (Found && (!Best || Found->m_Until < Best->m_Until))
      Best = std::move(Found);
  }
  return Best;
}

} // namespace fireflydrift::placement
