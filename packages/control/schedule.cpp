#include "control/schedule.h"

namespace fireflydrift::control {

static std::vector<Command> commandsFor(const placement::Decision &Decision) {
  switch (Decision.m_Verdict) {
  case placement::Verdict::Placed:
    return {PlaceJob{.m_Decision = Decision}};
  case placement::Verdict::Reclaiming:
    // Without victims, the stops are already under way.
    if (!Decision.m_Victims.empty())
      return {ReclaimCapacity{.m_Decision = Decision}};
    return {};
  case placement::Verdict::Waiting:
  case placement::Verdict::Refused:
    return {};
  }
  return {};
}

ScheduleResult schedule(const State &Current,
                        const placement::GuaranteeReservations &Reservations,
                        const std::set<core::TargetId> &Unresponsive,
                        const placement::PassOptions &Options, core::Time Now) {
  const Tables &Stored = Current.m_Tables;
  placement::View View{.m_Fleet = &Current.m_Indexes.m_Fleet,
                       .m_Configuration = &Stored.m_Configuration,
                       .m_Reservations = &Reservations,
                       .m_Estimates = &Stored.m_Estimates,
                       .m_BackfillReservations = {},
                       .m_Unresponsive = Unresponsive};
  std::vector<const job::Job *> Queued;
  for (const core::JobKey &Key : Current.m_Indexes.m_Queued)
    Queued.push_back(findJob(Current, Key));

  placement::PassResult Result = placement::runPass(View, Queued, Options, Now);
  ScheduleResult Out{.m_Decisions = std::move(Result.m_Decisions)};
  for (const placement::Decision &Decision : Out.m_Decisions)
    for (Command &Each : commandsFor(Decision))
      Out.m_Commands.push_back(std::move(Each));
  for (const auto &[Key, Reason] : Result.m_Refused) {
    Out.m_Decisions.push_back({.m_Job = Key,
                               .m_At = Now,
                               .m_Verdict = placement::Verdict::Refused,
                               .m_Rule = Reason.m_Message});
    Out.m_Commands.push_back(RejectJob{.m_Job = Key, .m_Reason = Reason});
  }
  return Out;
}

} // namespace fireflydrift::control
