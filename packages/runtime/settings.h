// A server's settings, read from an INI file and checked as a whole.
#ifndef FIREFLYDRIFT_RUNTIME_SETTINGS_H
#define FIREFLYDRIFT_RUNTIME_SETTINGS_H

#include "control/leader.h"
#include "membership/membership.h"
#include "replica/replica.h"
#include "routing/admission.h"
#include "runtime/events.h"
#include "runtime/http_server.h"

namespace fireflydrift::runtime {

// A host and port to listen on; the port is zero where nothing is served.
struct ListenAddress {
  std::string m_Host;
  std::uint16_t m_Port = 0;

  friend bool operator==(const ListenAddress &,
                         const ListenAddress &) = default;
};

// Where a VM serves an environment that has an interface of its own, beside
// the product's own interface.
struct ListenAddresses {
  ListenAddress m_Callers;
  ListenAddress m_Readiness;
  ListenAddress m_Control;

  friend bool operator==(const ListenAddresses &,
                         const ListenAddresses &) = default;
};

struct Settings {
  // This VM, and all VMs of the system with it.
  membership::VmAddress m_Self;
  std::vector<membership::VmAddress> m_Vms;
  // Hosts of VMs that know the others, where settings do not list all VMs.
  std::vector<std::string> m_Seeds;
  // False once the system has been started: then a blank folder only joins.
  bool m_MayBootstrap = true;
  std::uint32_t m_ToleratedLosses = 1;
  ListenAddresses m_Listen;
  // Empty on a VM without a disk of its own.
  std::string m_DataFolder;
  std::uint64_t m_SnapshotIntervalEntries = 5000;
  replica::ReplicaOptions m_Replica;
  HttpServerOptions m_Http;
  routing::AdmissionOptions m_Admission;
  control::LeaderOptions m_Leader;
  core::Duration m_HeartbeatInterval{500};
  core::Duration m_OperationDeadline{10000};
  core::Duration m_DrainTimeout{20000};
  // Time for which a draining VM goes on serving even when it holds nothing,
  // so that callers find out before it ends.
  core::Duration m_MinDrainTime{0};
  std::string m_OperatorTokenFile;
  std::string m_WorkspaceTokensFile;
  LogOptions m_Log;

  friend bool operator==(const Settings &, const Settings &) = default;
};

// One key of the settings file and what it means.
struct SettingInfo {
  const char *m_Section;
  const char *m_Key;
  const char *m_Help;
};

// All keys, in the order of the reference page. Keys of the section "vms" are
// the ids of VMs and are not listed.
[[nodiscard]] const std::vector<SettingInfo> &allSettings();

// Reads settings from text. Fails with InvalidInput: the field is
// "file:line section.key", the rule says what it broke.
[[nodiscard]] core::Outcome<Settings> parseSettings(const std::string &Text,
                                                    const std::string &Name);
[[nodiscard]] core::Outcome<Settings> readSettings(const std::string &FileName);

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_SETTINGS_H
