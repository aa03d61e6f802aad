#include "messages/codec.h"

#include "messages/archive.h"

#include <cereal/archives/portable_binary.hpp>
#include <cstring>
#include <new>
#include <sstream>
#include <stdexcept>
#include <xxhash.h>

namespace fireflydrift::messages {

// Raised whenever the encoding of any type changes.
static constexpr std::uint8_t FormatVersion = 2;
// A version byte and a 64-bit checksum, before the encoded value.
static constexpr std::size_t HeaderBytes = 1 + sizeof(std::uint64_t);

// Names the type of an encoded value. It goes into the checksum, so that a
// value is never read as one of another type.
enum class Kind : std::uint8_t {
  Envelope = 1,
  Beat,
  Batch,
  Tables,
  JournalRecord,
  SnapshotFile,
};

static std::uint64_t checksum(Kind Type, std::string_view Encoded) {
  return XXH64(Encoded.data(), Encoded.size(),
               static_cast<std::uint64_t>(Type));
}

static std::string withHeader(Kind Type, const std::string &Encoded) {
  std::uint64_t Checksum = checksum(Type, Encoded);
  std::string Bytes(HeaderBytes, '\0');
  Bytes[0] = static_cast<char>(FormatVersion);
  std::memcpy(Bytes.data() + 1, &Checksum, sizeof(Checksum));
  return Bytes + Encoded;
}

static core::Reason corrupt(const char *Rule) {
  return {.m_Code = core::ReasonCode::Corrupt,
          .m_Field = "message",
          .m_Message = Rule};
}

static core::Outcome<std::string> withoutHeader(Kind Type,
                                                std::string_view Bytes) {
  if (Bytes.size() < HeaderBytes)
    return corrupt("too short");
  if (Bytes.size() > MaxEncodedBytes)
    return corrupt("too long");
  if (static_cast<std::uint8_t>(Bytes[0]) != FormatVersion)
    return corrupt("unknown format version");
  std::uint64_t Checksum = 0;
  std::memcpy(&Checksum, Bytes.data() + 1, sizeof(Checksum));
  std::string_view Encoded = Bytes.substr(HeaderBytes);
  if (checksum(Type, Encoded) != Checksum)
    return corrupt("wrong checksum");
  return std::string(Encoded);
}

template <class T> static std::string encodeValue(Kind Type, const T &Value) {
  std::ostringstream Stream;
  cereal::PortableBinaryOutputArchive Archive(Stream);
  Archive(Value);
  return withHeader(Type, Stream.str());
}

template <class T>
static core::Outcome<T> decodeValue(Kind Type, std::string_view Bytes) {
  auto Encoded = withoutHeader(Type, Bytes);
  if (!Encoded)
    return Encoded.reason();
  try {
    std::istringstream Stream(*std::move(Encoded));
    cereal::PortableBinaryInputArchive Archive(Stream);
    T Value;
    Archive(Value);
    if (Stream.peek() != std::istringstream::traits_type::eof())
      return corrupt("bytes are left over");
    return Value;
  } catch (const cereal::Exception &) {
    return corrupt("is not a value of this type");
  } catch (const std::length_error &) {
    return corrupt("states an impossible length");
  } catch (const std::bad_alloc &) {
    return corrupt("states an impossible length");
  }
}

std::string encode(const Envelope &Value) {
  return encodeValue(Kind::Envelope, Value);
}
std::string encode(const membership::Heartbeat &Value) {
  return encodeValue(Kind::Beat, Value);
}
std::string encode(const control::Batch &Value) {
  return encodeValue(Kind::Batch, Value);
}
std::string encode(const control::Tables &Value) {
  return encodeValue(Kind::Tables, Value);
}
std::string encode(const JournalRecord &Value) {
  return encodeValue(Kind::JournalRecord, Value);
}
std::string encode(const SnapshotFile &Value) {
  return encodeValue(Kind::SnapshotFile, Value);
}

core::Outcome<Envelope> decodeEnvelope(std::string_view Bytes) {
  return decodeValue<Envelope>(Kind::Envelope, Bytes);
}
core::Outcome<membership::Heartbeat> decodeBeat(std::string_view Bytes) {
  return decodeValue<membership::Heartbeat>(Kind::Beat, Bytes);
}
core::Outcome<control::Batch> decodeBatch(std::string_view Bytes) {
  return decodeValue<control::Batch>(Kind::Batch, Bytes);
}
core::Outcome<control::Tables> decodeTables(std::string_view Bytes) {
  return decodeValue<control::Tables>(Kind::Tables, Bytes);
}
core::Outcome<JournalRecord> decodeJournalRecord(std::string_view Bytes) {
  return decodeValue<JournalRecord>(Kind::JournalRecord, Bytes);
}
core::Outcome<SnapshotFile> decodeSnapshotFile(std::string_view Bytes) {
  return decodeValue<SnapshotFile>(Kind::SnapshotFile, Bytes);
}

} // namespace fireflydrift::messages
