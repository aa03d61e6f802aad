// Settings of a server, parsed from an INI file and validated as a whole.
#ifndef FIREFLYDRIFT_RUNTIME_SETTINGS_H
#define FIREFLYDRIFT_RUNTIME_SETTINGS_H

#include "control/leader.h"
#include "membership/membership.h"
#include "replica/replica.h"
#include "routing/admission.h"
#include "routing/memory_budget.h"
#include "runtime/events.h"
#include "runtime/http_server.h"

namespace fireflydrift::runtime {

// A host and port to listen on. Port zero disables the listener.
struct ListenAddress {
  std::string m_Host;
  std::uint16_t m_Port = 0;

  friend bool operator==(const ListenAddress &,
                         const ListenAddress &) = default;
};

// Listeners of an environment-specific interface, in addition to the product's
// own interface.
struct ListenAddresses {
  ListenAddress m_Callers;
  ListenAddress m_Readiness;
  ListenAddress m_Control;

  friend bool operator==(const ListenAddresses &,
                         const ListenAddresses &) = default;
};

struct Settings {
  membership::VmAddress m_Self;
  // All VMs of the system including this one. With seeds, only this VM and the
  // seeds.
  std::vector<membership::VmAddress> m_Vms;
  // Hosts of VMs through which the others are discovered, when settings do not
  // list all VMs.
  std::vector<std::string> m_Seeds;
  // Whether a VM with an empty data folder may bootstrap a new cluster. False
  // after the first start of the system: the VM then only joins.
  bool m_MayBootstrap = true;
  std::uint32_t m_ToleratedLosses = 1;
  ListenAddresses m_Listen;
  // Empty on a VM without a disk of its own, which is then not a replica.
  std::string m_DataFolder;
  std::uint64_t m_SnapshotIntervalEntries = 5000;
  replica::ReplicaOptions m_Replica;
  HttpServerOptions m_Http;
  // Without its listeners, which the process adds.
  routing::MemoryBudgetOptions m_Memory;
  routing::AdmissionOptions m_Admission;
  control::LeaderOptions m_Leader;
  core::Duration m_HeartbeatInterval{500};
  core::Duration m_OperationDeadline{10000};
  core::Duration m_DrainTimeout{20000};
  // Time for which a draining VM keeps serving even without held requests, so
  // that callers notice before it stops.
  core::Duration m_MinDrainTime{0};
  std::string m_OperatorTokenFile;
  std::string m_WorkspaceTokensFile;
  LogOptions m_Log;

  friend bool operator==(const Settings &, const Settings &) = default;
};

// One key of the settings file, with its help text.
struct SettingInfo {
  const char *m_Section;
  const char *m_Key;
  const char *m_Help;
};

// All keys, in the order of docs/SETTINGS.md. The keys of the section "vms" are
// VM ids and are not listed.
[[nodiscard]] const std::vector<SettingInfo> &allSettings();

// Parses settings. Name is the file name for error messages. Fails with
// InvalidInput: the field is "file:line section.key", the message says what
// is wrong.
[[nodiscard]] core::Outcome<Settings> parseSettings(const std::string &Text,
                                                    const std::string &Name);
// Parses a settings file. Overrides, as "section.key=value", go before what the
// file says; one without a value changes nothing. Also fails with Io when the
// file can't be read, and with InvalidInput for an override of another form.
[[nodiscard]] core::Outcome<Settings>
readSettings(const std::string &FileName,
             const std::vector<std::string> &Overrides = {});

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_SETTINGS_H
