// What targets that fetch their orders are answered.
#include "control/runs.h"

namespace fireflydrift::control {

using workflow::TaskKey;
using namespace impl;

// The highest number through which no end is still to be made durable.
static std::uint64_t settledThrough(const State &Current,
                                    const roster::Member &To) {
  std::uint64_t Through = 0;
  for (const roster::EndedTask &Each : To.m_LastReport.m_Ended) {
    if (isOut(Current, Each.m_Task, Each.m_Run, To.instance()))
      break;
    Through = Each.m_Number;
  }
  return Through;
}

static void addStarts(const PollingState &Self, const State &Current,
                      const roster::Member &To, roster::Orders &Into) {
  if (To.m_LastReport.m_Draining)
    return;
  for (const TaskKey &Key : assignedTo(Current, To.m_LastReport.m_Target)) {
    const workflow::Workflow &Of = *findWorkflow(Current, Key.m_Workflow);
    const workflow::Task &Value = *Of.find(Key.m_Step, Key.m_Index);
    bool Due = isUnseen(Current, To, Key, Value.m_Run) &&
               isWanted(Self, Current, Key, Value.m_Run) &&
               !isEnding(Self, Key, Value.m_Run);
    if (Due)
      Into.m_Starts.push_back({.m_Task = Key,
                               .m_Run = Value.m_Run,
                               .m_Body = Of.spec().m_Body,
                               .m_Checkpoint = Value.m_Checkpoint});
  }
}

static void addStops(const PollingState &Self, const State &Current,
                     const roster::Member &To, roster::Orders &Into) {
  for (const roster::RunningTask &Each : To.m_LastReport.m_Running)
    if (!isOut(Current, Each.m_Task, Each.m_Run, To.instance()) ||
        !isWanted(Self, Current, Each.m_Task, Each.m_Run))
      Into.m_Stops.push_back({.m_Task = Each.m_Task, .m_Run = Each.m_Run});
  for (const TaskKey &Key : assignedTo(Current, To.m_LastReport.m_Target)) {
    const workflow::Task &Value = *findTask(Current, Key);
    if (isWithdrawn(Self, Current, To, Key, Value))
      Into.m_Stops.push_back({.m_Task = Key, .m_Run = Value.m_Run});
  }
}

static Unseen countOrder(Unseen &Known, std::uint32_t Run, core::Time Now) {
  if (Known.m_Run != Run)
    Known = {.m_Run = Run, .m_Since = Now};
  ++Known.m_Answers;
  return Known;
}

PollingState recordOrdersSent(PollingState Before, const State &Current,
                              const core::TargetId &Id,
                              const roster::Orders &Orders,
                              const PollingOptions &Options,
                              core::Time ReportedAt, core::Time Now) {
  Before.m_Roster = std::move(Before.m_Roster)
                        .withExtendedLease(Id, Options.m_Roster, ReportedAt);
  const roster::Member *To = Before.m_Roster.find(Id);
  if (!To)
    return Before;
  for (const roster::StopOrder &Each : Orders.m_Stops)
    if (isUnseen(Current, *To, Each.m_Task, Each.m_Run))
      (void)countOrder(Before.m_Withdrawals[Each.m_Task], Each.m_Run, Now);
  for (const roster::StartOrder &Each : Orders.m_Starts) {
    Unseen Known = countOrder(Before.m_Starts[Each.m_Task], Each.m_Run, Now);
    // The target swallows the order; the run goes elsewhere.
    if (Known.m_Answers >= Options.m_StartAnswers &&
        Now - Known.m_Since >= Options.m_StartWithin)
      Before.m_Displaced[Each.m_Task] = Each.m_Run;
  }
  return Before;
}

ReportResponse ordersFor(const PollingState &Current, const State &State,
                         const roster::Member &To,
                         const PollingOptions &Options, std::uint64_t Fence) {
  ReportResponse Out;
  roster::Orders &Orders = Out.m_Orders;
  Orders.m_FencingToken = Fence;
  Orders.m_Lease = Options.m_Roster.m_Lease;
  Orders.m_AcknowledgedThrough = settledThrough(State, To);
  addStarts(Current, State, To, Orders);
  addStops(Current, State, To, Orders);
  const roster::Report &Last = To.m_LastReport;
  bool Unsettled = !Last.m_Ended.empty() &&
                   Last.m_Ended.back().m_Number > Orders.m_AcknowledgedThrough;
  Out.m_SendNow = !Orders.m_Starts.empty() || !Orders.m_Stops.empty() ||
                  (!Last.m_Ended.empty() && !Unsettled);
  bool Idle = Last.m_Running.empty() && !Last.m_Draining;
  // A target whose tasks may end soon can't tell while its report waits.
  Out.m_MaxDelay = Unsettled ? Options.m_HoldEnds
                   : Idle    ? Options.m_HoldIdle
                             : core::Duration(0);
  Orders.m_ReportAfter = Idle ? core::Duration(1) : Options.m_ReportAgain;
  return Out;
}

} // namespace fireflydrift::control
