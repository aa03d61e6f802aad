#include "control/schedule.h"

namespace fireflydrift::control {

static std::vector<Command> commandsFor(const placement::Decision &Said) {
  switch (Said.m_Verdict) {
  case placement::Verdict::Placed:
    return {PlaceJob{.m_Decision = Said}};
  case placement::Verdict::Reclaiming:
    // Without victims the stops are under way already.
    if (!Said.m_Victims.empty())
      return {ReclaimCapacity{.m_Decision = Said}};
    return {};
  case placement::Verdict::Waiting:
  case placement::Verdict::Refused:
    return {};
  }
  return {};
}

Scheduled schedule(const State &Current,
                   const placement::GuaranteeReservations &Witnesses,
                   const std::set<core::TargetId> &Silent,
                   const placement::PassOptions &Options, core::Time Now) {
  const Tables &Stored = Current.m_Tables;
  placement::View View{.m_Fleet = &Current.m_Indexes.m_Fleet,
                       .m_Configuration = &Stored.m_Configuration,
                       .m_Reservations = &Witnesses,
                       .m_Estimates = &Stored.m_Estimates,
                       .m_BackfillReservations = {},
                       .m_Unresponsive = Silent};
  std::vector<const job::Job *> Queued;
  for (const core::JobKey &Key : Current.m_Indexes.m_Queued)
    Queued.push_back(findJob(Current, Key));

  placement::PassResult Result = placement::runPass(View, Queued, Options, Now);
  Scheduled Out{.m_Decisions = std::move(Result.m_Decisions)};
  for (const placement::Decision &Said : Out.m_Decisions)
    for (Command &Each : commandsFor(Said))
      Out.m_Commands.push_back(std::move(Each));
  for (const auto &[Key, Why] : Result.m_Refused) {
    Out.m_Decisions.push_back({.m_Job = Key,
                               .m_At = Now,
                               .m_Verdict = placement::Verdict::Refused,
                               .m_Rule = Why.m_Message});
    Out.m_Commands.push_back(RejectJob{.m_Job = Key, .m_Reason = Why});
  }
  return Out;
}

} // namespace fireflydrift::control
