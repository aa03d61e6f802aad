// Stand-in targets that fetch their orders from the platform's side and keep
// to its rules: leases, fences, gangs, saved progress, ends until they are
// acknowledged. Faults can be laid on each of them.
#ifndef FIREFLYDRIFT_TESTS_STANDIN_WORKERS_H
#define FIREFLYDRIFT_TESTS_STANDIN_WORKERS_H

#include "runtime/http_client.h"
#include "standin/books.h"

#include <functional>
#include <nlohmann/json.hpp>

namespace fireflydrift::standin {

// Where one replica takes reports, and by which host it names itself.
struct ControlAddress {
  std::string m_Host;
  std::uint16_t m_Port = 0;
  std::string m_NamesItself;

  friend bool operator==(const ControlAddress &,
                         const ControlAddress &) = default;
};

struct WorkerOptions {
  std::vector<ControlAddress> m_Controls;
  int m_Count = 4;
  int m_Accelerators = 4;
  core::Duration m_ReportEvery{1500};
  core::Duration m_GangWithin{3000};
  core::Duration m_SavesEvery{200};

  friend bool operator==(const WorkerOptions &,
                         const WorkerOptions &) = default;
};

class Workers {
public:
  // Called when a report was answered by another leader than the last one.
  using OnLeader = std::function<void(const std::string &Host)>;

  Workers(runtime::Loop &On, Books &Into, WorkerOptions Options,
          OnLeader Leader);

  [[nodiscard]] int count() const noexcept { return m_Options.m_Count; }
  void turn(core::Time Now);

  // The target dies and comes back at once as another life.
  void crash(int Which, core::Time Now);
  // It neither sends nor hears anything until then, and runs on.
  void cutUntil(int Which, core::Time Until);
  // Whatever it starts fails until then.
  void failUntil(int Which, core::Time Until);

private:
  struct Run {
    TaskName m_Name;
    int m_Number = 0;
    core::Time m_ArrivedAt;
    // Set once the whole gang is there, at once for other tasks.
    std::optional<core::Time> m_BegunAt;
    core::Duration m_DoneBefore{0};
    std::string m_Saved;
  };
  struct Worker {
    std::string m_Id;
    std::size_t m_Control = 0;
    std::uint64_t m_Born = 1;
    std::uint64_t m_Sequence = 0;
    std::uint64_t m_Ends = 0;
    std::uint64_t m_Fence = 0;
    // Ends listed before a lease ran out; they no longer count.
    std::uint64_t m_LapsedThrough = 0;
    bool m_InFlight = false;
    core::Time m_NextAt;
    core::Time m_LeaseUntil;
    core::Time m_CutUntil;
    core::Time m_FailsUntil;
    std::map<std::string, Run> m_Runs;
    std::map<std::string, int> m_Barred;
    nlohmann::json m_Ended = nlohmann::json::array();
  };

  void report(Worker &Of, core::Time Now);
  void take(Worker &Of, const runtime::HttpClientResponse &Answer,
            core::Time SentAt);
  void acknowledge(Worker &Of, std::uint64_t Through, core::Time Now);
  void start(Worker &Of, const nlohmann::json &Order, core::Time Now);
  void progress(Worker &Of, core::Time Now);
  void beginGangs(core::Time Now);
  void breakGang(const Run &Lost, const char *How, core::Time Now);
  void end(Worker &Of, const std::string &Name, const char *How,
           core::Time Now);
  void list(Worker &Of, const TaskName &Name, int Number, const char *How,
            const std::string &Saved);
  [[nodiscard]] const StepFacts &stepOf(const TaskName &Name) const;
  [[nodiscard]] core::Duration doneBy(const Run &Value, core::Time Now) const;

  runtime::Loop &m_Loop;
  Books &m_Books;
  WorkerOptions m_Options;
  OnLeader m_OnLeader;
  runtime::HttpClient m_Client;
  std::vector<Worker> m_Workers;
  std::string m_Leader;
};

} // namespace fireflydrift::standin

#endif // FIREFLYDRIFT_TESTS_STANDIN_WORKERS_H
