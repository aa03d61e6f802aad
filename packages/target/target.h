// The target aggregate: the announcement of a target, its health, and whether
// new work may be placed on it.
#ifndef FIREFLYDRIFT_TARGET_TARGET_H
#define FIREFLYDRIFT_TARGET_TARGET_H

#include "core/ids.h"
#include "core/labels.h"
#include "core/outcome.h"
#include "core/shape.h"
#include "core/time.h"

namespace fireflydrift::target {

// Consecutive failed tasks after which a target is quarantined.
inline constexpr std::uint32_t QuarantineAfterFailures = 3;
// Duration of the first quarantine. Each further quarantine doubles it, up to
// the longest.
inline constexpr core::Duration FirstQuarantine{5000};
inline constexpr core::Duration LongestQuarantine{300000};

// Properties that a target announces about itself.
struct Announcement {
  core::TargetId m_Id;
  // Numeric host and port of the target's HTTP interface.
  std::string m_Host;
  std::uint16_t m_Port = 0;
  // Changes each time the target's process restarts.
  std::uint64_t m_Incarnation = 0;
  std::string m_Region;
  std::string m_FailureDomain;
  std::string m_Rack;
  core::Labels m_Labels;
  core::Capacity m_Capacity;

  friend bool operator==(const Announcement &, const Announcement &) = default;
  friend auto operator<=>(const Announcement &, const Announcement &) = default;
};

// Whether a target is part of the fleet.
enum class Presence : std::uint8_t { Active, Leaving, Lost };

// The stored form of a target.
struct TargetFields {
  Announcement m_Announcement;
  Presence m_Presence = Presence::Active;
  std::uint32_t m_ConsecutiveFailures = 0;
  // Quarantines since the last successful task.
  std::uint32_t m_Quarantines = 0;
  core::Time m_QuarantinedUntil;

  friend bool operator==(const TargetFields &, const TargetFields &) = default;
  friend auto operator<=>(const TargetFields &, const TargetFields &) = default;
};

// One target in the control state.
class Target {
public:
  // Fails with InvalidInput, naming the field and the rule that it violates.
  [[nodiscard]] static core::Outcome<Target> create(Announcement Value);
  // Rebuilds a target from its stored form.
  [[nodiscard]] static Target restore(TargetFields Fields) noexcept;

  [[nodiscard]] const TargetFields &fields() const noexcept { return m_Fields; }
  [[nodiscard]] const Announcement &announcement() const noexcept {
    return m_Fields.m_Announcement;
  }
  [[nodiscard]] const core::TargetId &id() const noexcept {
    return announcement().m_Id;
  }
  [[nodiscard]] Presence presence() const noexcept {
    return m_Fields.m_Presence;
  }
  [[nodiscard]] bool isQuarantined(core::Time Now) const noexcept;
  // True when new work may be placed here. A target whose quarantine has
  // ended is schedulable again; its next failure quarantines it for longer.
  [[nodiscard]] bool isSchedulable(core::Time Now) const noexcept;

  // True when the announcement comes from an instance that was declared lost.
  // Its work has been taken from it, so it must drop what it runs and announce
  // itself under a new incarnation.
  [[nodiscard]] bool
  isLostIncarnation(const Announcement &Value) const noexcept;

  // The target after a further announcement, which makes it active again. A new
  // incarnation resets the number of failures but not the number of
  // quarantines.
  [[nodiscard]] Target withAnnouncement(Announcement Value) const;
  [[nodiscard]] Target withPresence(Presence Value) const;
  [[nodiscard]] Target afterSuccess() const;
  [[nodiscard]] Target afterFailure(core::Time Now) const;

  friend bool operator==(const Target &, const Target &) = default;

private:
  explicit Target(TargetFields Fields) noexcept : m_Fields(std::move(Fields)) {}

  TargetFields m_Fields;
};

} // namespace fireflydrift::target

#endif // FIREFLYDRIFT_TARGET_TARGET_H
