// A stand-in operator of the platform: it sends manifests until they are
// acknowledged, sends two under one version, sends broken ones, withdraws
// keys, and reads back what is in force.
#ifndef FIREFLYDRIFT_TESTS_STANDIN_MANIFEST_OPERATOR_H
#define FIREFLYDRIFT_TESTS_STANDIN_MANIFEST_OPERATOR_H

#include "runtime/http_client.h"
#include "standin/books.h"
#include "standin/workers.h"

#include <list>

namespace fireflydrift::standin {

struct OperatorOptions {
  std::vector<ControlAddress> m_Controls;
  // The host under which callers reach the queue "/q/".
  std::string m_QueueHost;
  std::string m_LastingKey;
  core::Duration m_ReadEvery{300};

  friend bool operator==(const OperatorOptions &,
                         const OperatorOptions &) = default;
};

class ManifestOperator {
public:
  ManifestOperator(runtime::Loop &On, Books &Into, OperatorOptions Options);

  // True once the first manifest is acknowledged.
  [[nodiscard]] bool hasBegun() const noexcept { return m_Acknowledged > 0; }
  // True when no manifest waits for its acknowledgement.
  [[nodiscard]] bool isSettled() const noexcept { return m_Orders.empty(); }
  void turn(core::Time Now);

  void change(core::Time Now);
  // Two manifests of one version, sent to two VMs at once.
  void race(core::Time Now);
  void sendInvalid(core::Time Now);
  // Adds a key in place of the one that was added last, and returns it.
  std::string addKey(core::Time Now);
  // Withdraws the key that was added last, if there is one.
  void withdrawKey(core::Time Now);

private:
  struct Order {
    std::uint64_t m_Version = 0;
    std::string m_Body;
    std::string m_Withdraws;
    bool m_Invalid = false;
    std::size_t m_Control = 0;
    bool m_InFlight = false;
    bool m_Done = false;
    core::Time m_NextAt;
  };

  [[nodiscard]] nlohmann::json manifest() const;
  Order &add(const nlohmann::json &Manifest, core::Time Now);
  void send(Order &Value);
  void read(core::Time Now);

  runtime::Loop &m_Loop;
  Books &m_Books;
  OperatorOptions m_Options;
  runtime::HttpClient m_Client;
  std::list<Order> m_Orders;
  std::uint64_t m_Version = 0;
  std::uint64_t m_Acknowledged = 0;
  std::uint64_t m_KeysMade = 0;
  std::string m_ExtraKey;
  std::size_t m_NextControl = 0;
  core::Time m_ReadAt;
};

} // namespace fireflydrift::standin

#endif // FIREFLYDRIFT_TESTS_STANDIN_MANIFEST_OPERATOR_H
