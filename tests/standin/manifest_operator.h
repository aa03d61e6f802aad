// A stand-in for the platform's operator: sends manifests until they are
// acknowledged, sends two different ones under one version, sends invalid ones,
// revokes API keys, and reads back the manifest in force.
#ifndef FIREFLYDRIFT_TESTS_STANDIN_MANIFEST_OPERATOR_H
#define FIREFLYDRIFT_TESTS_STANDIN_MANIFEST_OPERATOR_H

#include "runtime/http_client.h"
#include "standin/history_checker.h"
#include "standin/workers.h"

#include <list>

namespace fireflydrift::standin {

struct OperatorOptions {
  std::vector<ControlAddress> m_ControlAddresses;
  // The host of the queue "/q/" as callers address it.
  std::string m_QueueHost;
  std::string m_PermanentKey;
  core::Duration m_ReadInterval{300};

  friend bool operator==(const OperatorOptions &,
                         const OperatorOptions &) = default;
};

class ManifestOperator {
public:
  ManifestOperator(runtime::Loop &EventLoop, HistoryChecker &Checker,
                   OperatorOptions Options);

  // True once a manifest has been acknowledged.
  [[nodiscard]] bool isConfigured() const noexcept {
    return m_Acknowledged > 0;
  }
  // True when no manifest is waiting for its acknowledgement or, if invalid,
  // its refusal.
  [[nodiscard]] bool hasNonePending() const noexcept {
    return m_PendingManifests.empty();
  }
  void tick(core::Time Now);

  // Sends the next version of the manifest.
  void sendNext(core::Time Now);
  // Sends two different manifests of one version to two VMs at once.
  void sendConflicting(core::Time Now);
  void sendInvalid(core::Time Now);
  // Adds a new API key, revokes the one added before it if that is still valid,
  // and returns the new one.
  std::string addKey(core::Time Now);
  // Revokes the API key that was added last, if there is one.
  void revokeKey(core::Time Now);

private:
  struct PendingManifest {
    std::uint64_t m_Version = 0;
    std::string m_Body;
    std::string m_RevokedKey;
    bool m_Invalid = false;
    std::size_t m_Control = 0;
    bool m_InFlight = false;
    bool m_Done = false;
    core::Time m_NextAt;
  };

  [[nodiscard]] nlohmann::json manifest() const;
  PendingManifest &add(const nlohmann::json &Manifest, core::Time Now);
  void send(PendingManifest &Value);
  void read(core::Time Now);

  runtime::Loop &m_Loop;
  HistoryChecker &m_Checker;
  OperatorOptions m_Options;
  runtime::HttpClient m_Client;
  std::list<PendingManifest> m_PendingManifests;
  std::uint64_t m_Version = 0;
  std::uint64_t m_Acknowledged = 0;
  std::uint64_t m_KeyCount = 0;
  std::string m_ExtraKey;
  std::size_t m_NextControl = 0;
  core::Time m_NextReadAt;
};

} // namespace fireflydrift::standin

#endif // FIREFLYDRIFT_TESTS_STANDIN_MANIFEST_OPERATOR_H
