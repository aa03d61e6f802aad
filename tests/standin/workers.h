// Stand-ins for targets that poll for their orders over the platform's API and
// follow its protocol: leases, fencing tokens, gangs, checkpoints, and ends
// that are reported until they are acknowledged. Faults can be injected into
// each.
#ifndef FIREFLYDRIFT_TESTS_STANDIN_WORKERS_H
#define FIREFLYDRIFT_TESTS_STANDIN_WORKERS_H

#include "runtime/http_client.h"
#include "standin/history_checker.h"

#include <functional>
#include <nlohmann/json.hpp>

namespace fireflydrift::standin {

// The address at which a replica accepts reports, and the host that it
// advertises in its answers.
struct ControlAddress {
  std::string m_Host;
  std::uint16_t m_Port = 0;
  std::string m_AdvertisedHost;

  friend bool operator==(const ControlAddress &,
                         const ControlAddress &) = default;
};

struct WorkerOptions {
  std::vector<ControlAddress> m_ControlAddresses;
  int m_Count = 4;
  int m_Accelerators = 4;
  core::Duration m_ReportInterval{1500};
  core::Duration m_GangTimeout{3000};
  core::Duration m_CheckpointInterval{200};

  friend bool operator==(const WorkerOptions &,
                         const WorkerOptions &) = default;
};

// The id and the address of the target with this zero-based index. The address
// is not the one from which its reports arrive, as behind a translation of
// addresses.
[[nodiscard]] std::string workerId(int Index);
[[nodiscard]] std::string workerAddress(int Index);

class Workers {
public:
  // Called with the host of the leader when an answer names a new one.
  using OnLeaderChange = std::function<void(const std::string &Host)>;

  Workers(runtime::Loop &EventLoop, HistoryChecker &Checker,
          WorkerOptions Options, OnLeaderChange OnChange);

  [[nodiscard]] int count() const noexcept { return m_Options.m_Count; }
  void tick(core::Time Now);

  // The target crashes and comes back as a new instance, which sends its first
  // report after the report interval.
  void crash(int Index, core::Time Now);
  // Until then, the target neither sends reports nor receives answers. Its runs
  // go on until its lease expires.
  void partitionUntil(int Index, core::Time Until);
  // Until then, every run that has started on the target fails.
  void failUntil(int Index, core::Time Until);

private:
  struct Run {
    TaskName m_Name;
    int m_Number = 0;
    core::Time m_ReceivedAt;
    // Set when all members of the gang are present; for other tasks, at
    // receipt.
    std::optional<core::Time> m_StartedAt;
    core::Duration m_ResumedProgress{0};
    std::string m_Checkpoint;
  };
  struct Worker {
    std::string m_Id;
    std::string m_Address;
    std::size_t m_Control = 0;
    std::uint64_t m_Incarnation = 1;
    std::uint64_t m_Sequence = 0;
    std::uint64_t m_LastEndNumber = 0;
    std::uint64_t m_FencingToken = 0;
    // m_LastEndNumber at the latest tick that found no valid lease, before the
    // ends of that tick. The acknowledgement of ends up to this number is not
    // checked.
    std::uint64_t m_ExpiredThrough = 0;
    bool m_InFlight = false;
    core::Time m_NextAt;
    core::Time m_LeaseUntil;
    core::Time m_PartitionedUntil;
    core::Time m_FailUntil;
    std::map<std::string, Run> m_Runs;
    // By task, the highest run that has ended or was stopped or refused. Orders
    // to start this or an earlier run are refused.
    std::map<std::string, int> m_LastClosedRun;
    // Ends not yet acknowledged: arrays [end number, task, run, cause,
    // checkpoint].
    nlohmann::json m_Ended = nlohmann::json::array();
  };

  void report(Worker &Target, core::Time Now);
  void handleOrders(Worker &Target, const runtime::HttpClientResponse &Answer,
                    core::Time SentAt);
  void acknowledge(Worker &Target, std::uint64_t Through, core::Time Now);
  void start(Worker &Target, const nlohmann::json &Order, core::Time Now);
  void advanceRuns(Worker &Target, core::Time Now);
  void startCompleteGangs(core::Time Now);
  void endGangMembers(const Run &EndedRun, const char *Cause, core::Time Now);
  void end(Worker &Target, const std::string &Name, const char *Cause,
           core::Time Now);
  void addEndToReport(Worker &Target, const TaskName &Name, int Number,
                      const char *Cause, const std::string &Checkpoint);
  [[nodiscard]] const StepDescription &stepOf(const TaskName &Name) const;
  [[nodiscard]] core::Duration progressAt(const Run &Value,
                                          core::Time Now) const;

  runtime::Loop &m_Loop;
  HistoryChecker &m_Checker;
  WorkerOptions m_Options;
  OnLeaderChange m_OnLeaderChange;
  runtime::HttpClient m_Client;
  std::vector<Worker> m_Workers;
  std::string m_Leader;
};

} // namespace fireflydrift::standin

#endif // FIREFLYDRIFT_TESTS_STANDIN_WORKERS_H
