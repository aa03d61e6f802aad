#include "messages/codec.h"

#include "messages/archive.h"
#include "messages/bounded_archive.h"

#include <cstring>
#include <new>
#include <sstream>
#include <stdexcept>
#include <xxhash.h>

namespace fireflydrift::messages {

// Incremented when an earlier version could misread a value. New alternatives
// at the end of a variant, and optional fields at the end of a message, are
// refused by earlier versions or not written.
static constexpr std::uint8_t FormatVersion = 2;
// A version byte and a 64-bit checksum, before the encoded value.
static constexpr std::size_t HeaderBytes = 1 + sizeof(std::uint64_t);

// The type tag of an encoded value. It seeds the checksum, so that a value is
// never decoded as another type.
enum class ValueType : std::uint8_t {
  Envelope = 1,
  Heartbeat,
  Batch,
  Tables,
  JournalRecord,
  SnapshotFile,
};

static std::uint64_t checksum(ValueType Type, std::string_view Encoded) {
  return XXH64(Encoded.data(), Encoded.size(),
               static_cast<std::uint64_t>(Type));
}

static std::string addHeader(ValueType Type, const std::string &Encoded) {
  std::uint64_t Checksum = checksum(Type, Encoded);
  std::string Bytes(HeaderBytes, '\0');
  Bytes[0] = static_cast<char>(FormatVersion);
  std::memcpy(Bytes.data() + 1, &Checksum, sizeof(Checksum));
  return Bytes + Encoded;
}

static core::Reason corrupt(const char *Message) {
  return {.m_Code = core::ReasonCode::Corrupt,
          .m_Field = "message",
          .m_Message = Message};
}

static core::Outcome<std::string> verifyHeader(ValueType Type,
                                               std::string_view Bytes) {
  if (Bytes.size() < HeaderBytes)
    return corrupt("is shorter than the header");
  if (Bytes.size() > MaxEncodedBytes)
    return corrupt("is longer than the maximum size");
  if (static_cast<std::uint8_t>(Bytes[0]) != FormatVersion)
    return corrupt("has an unknown format version");
  std::uint64_t Checksum = 0;
  std::memcpy(&Checksum, Bytes.data() + 1, sizeof(Checksum));
  std::string_view Encoded = Bytes.substr(HeaderBytes);
  if (checksum(Type, Encoded) != Checksum)
    return corrupt("has a wrong checksum");
  return std::string(Encoded);
}

template <class T>
static std::string encodeValue(ValueType Type, const T &Value) {
  std::ostringstream Stream;
  cereal::PortableBinaryOutputArchive Archive(Stream);
  Archive(Value);
  return addHeader(Type, Stream.str());
}

template <class T>
static core::Outcome<T> decodeValue(ValueType Type, std::string_view Bytes) {
  auto Encoded = verifyHeader(Type, Bytes);
  if (!Encoded)
    return Encoded.reason();
  try {
    std::istringstream Stream(*std::move(Encoded));
    BoundedInputArchive Archive(Stream);
    T Value;
    Archive(Value);
    if (Stream.peek() != std::istringstream::traits_type::eof())
      return corrupt("has trailing bytes");
    return Value;
  } catch (const cereal::Exception &) {
    return corrupt("can't be decoded as the expected type");
  } catch (const std::length_error &) {
    return corrupt("declares an impossible length");
  } catch (const std::bad_alloc &) {
    return corrupt("declares an impossible length");
  }
}

std::string encode(const Envelope &Value) {
  return encodeValue(ValueType::Envelope, Value);
}
std::string encode(const membership::Heartbeat &Value) {
  return encodeValue(ValueType::Heartbeat, Value);
}
std::string encode(const control::Batch &Value) {
  return encodeValue(ValueType::Batch, Value);
}
std::string encode(const control::Tables &Value) {
  return encodeValue(ValueType::Tables, Value);
}
std::string encode(const JournalRecord &Value) {
  return encodeValue(ValueType::JournalRecord, Value);
}
std::string encode(const SnapshotFile &Value) {
  return encodeValue(ValueType::SnapshotFile, Value);
}

core::Outcome<Envelope> decodeEnvelope(std::string_view Bytes) {
  return decodeValue<Envelope>(ValueType::Envelope, Bytes);
}
core::Outcome<membership::Heartbeat> decodeHeartbeat(std::string_view Bytes) {
  return decodeValue<membership::Heartbeat>(ValueType::Heartbeat, Bytes);
}
core::Outcome<control::Batch> decodeBatch(std::string_view Bytes) {
  return decodeValue<control::Batch>(ValueType::Batch, Bytes);
}
core::Outcome<control::Tables> decodeTables(std::string_view Bytes) {
  return decodeValue<control::Tables>(ValueType::Tables, Bytes);
}
core::Outcome<JournalRecord> decodeJournalRecord(std::string_view Bytes) {
  return decodeValue<JournalRecord>(ValueType::JournalRecord, Bytes);
}
core::Outcome<SnapshotFile> decodeSnapshotFile(std::string_view Bytes) {
  return decodeValue<SnapshotFile>(ValueType::SnapshotFile, Bytes);
}

} // namespace fireflydrift::messages
