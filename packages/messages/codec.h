// Binary encoding of messages between VMs and of files on disk. Every encoded
// value has a format version and a checksum; a corrupted value is rejected as a
// whole and never decoded in part.
#ifndef FIREFLYDRIFT_MESSAGES_CODEC_H
#define FIREFLYDRIFT_MESSAGES_CODEC_H

#include "control/operation.h"
#include "membership/membership.h"
#include "replica/replica.h"
#include "routing/heartbeats.h"

#include <string>
#include <string_view>

namespace fireflydrift::messages {

// Maximum size of an encoded value with its header, in bytes. Decoders reject
// larger ones.
inline constexpr std::size_t MaxEncodedBytes = std::size_t{64} << 20U;

// ---- Between VMs -----------------------------------------------------------

// An entry VM forwards an operation to the leader.
struct ForwardOperation {
  // Chosen by the entry VM, and unique over its processes; OperationReply and
  // NotLeader repeat it.
  std::uint64_t m_Id = 0;
  control::Operation m_Operation;
  friend bool operator==(const ForwardOperation &,
                         const ForwardOperation &) = default;
};
struct OperationReply {
  std::uint64_t m_Id = 0;
  control::Reply m_Reply;
  friend bool operator==(const OperationReply &,
                         const OperationReply &) = default;
};
// The receiver of a forwarded operation is not the leader.
struct NotLeader {
  std::uint64_t m_Id = 0;
  friend bool operator==(const NotLeader &, const NotLeader &) = default;
};
struct ReportHeartbeats {
  routing::HeartbeatSummary m_Summary;
  friend bool operator==(const ReportHeartbeats &,
                         const ReportHeartbeats &) = default;
};
// The leader requests a full heartbeat summary from an entry VM.
struct RequestHeartbeats {
  friend bool operator==(const RequestHeartbeats &,
                         const RequestHeartbeats &) = default;
};
// The leader has declared these targets lost, but the entry VM still receives
// their heartbeats: it must make them announce themselves again.
struct ReannounceTargets {
  std::vector<core::TargetId> m_Targets;
  friend bool operator==(const ReannounceTargets &,
                         const ReannounceTargets &) = default;
};
struct ReplicaMessage {
  replica::Message m_Message;
  friend bool operator==(const ReplicaMessage &,
                         const ReplicaMessage &) = default;
};

using Body =
    std::variant<ReplicaMessage, ForwardOperation, OperationReply, NotLeader,
                 ReportHeartbeats, RequestHeartbeats, ReannounceTargets>;

// One message from one VM to another.
struct Envelope {
  core::VmId m_From;
  Body m_Body;
  friend bool operator==(const Envelope &, const Envelope &) = default;
};

// ---- On disk ---------------------------------------------------------------

// The log entries from m_Index on are removed.
struct TruncateFrom {
  std::uint64_t m_Index = 0;
  friend bool operator==(const TruncateFrom &, const TruncateFrom &) = default;
};

// One record of the journal.
struct JournalRecord {
  std::variant<replica::Entry, replica::HardState, TruncateFrom> m_Value;
  friend bool operator==(const JournalRecord &,
                         const JournalRecord &) = default;
};

// A snapshot file: a position in the log, and the encoded tables as of that
// position.
struct SnapshotFile {
  replica::SnapshotPoint m_Point;
  std::string m_State;
  friend bool operator==(const SnapshotFile &, const SnapshotFile &) = default;
};

// ---- Encoding --------------------------------------------------------------

[[nodiscard]] std::string encode(const Envelope &Value);
[[nodiscard]] std::string encode(const membership::Heartbeat &Value);
[[nodiscard]] std::string encode(const control::Batch &Value);
[[nodiscard]] std::string encode(const control::Tables &Value);
[[nodiscard]] std::string encode(const JournalRecord &Value);
[[nodiscard]] std::string encode(const SnapshotFile &Value);

// Decoders fail with Corrupt on a value of another type, a wrong checksum, an
// unknown format version, a size above MaxEncodedBytes, or missing or trailing
// bytes.
[[nodiscard]] core::Outcome<Envelope> decodeEnvelope(std::string_view Bytes);
[[nodiscard]] core::Outcome<membership::Heartbeat>
decodeHeartbeat(std::string_view Bytes);
[[nodiscard]] core::Outcome<control::Batch> decodeBatch(std::string_view Bytes);
[[nodiscard]] core::Outcome<control::Tables>
decodeTables(std::string_view Bytes);
[[nodiscard]] core::Outcome<JournalRecord>
decodeJournalRecord(std::string_view Bytes);
[[nodiscard]] core::Outcome<SnapshotFile>
decodeSnapshotFile(std::string_view Bytes);

} // namespace fireflydrift::messages

#endif // FIREFLYDRIFT_MESSAGES_CODEC_H
