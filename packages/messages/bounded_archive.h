// An input archive that refuses sizes which the rest of the input can't hold.
// cereal itself allocates what a size declares before it reads the elements.
#ifndef FIREFLYDRIFT_MESSAGES_BOUNDED_ARCHIVE_H
#define FIREFLYDRIFT_MESSAGES_BOUNDED_ARCHIVE_H

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <istream>

namespace fireflydrift::messages {

// Reads what cereal::PortableBinaryOutputArchive wrote. Throws
// cereal::Exception when the input ends early or declares more elements than it
// has bytes left.
class BoundedInputArchive
    : public cereal::InputArchive<BoundedInputArchive,
                                  cereal::AllowEmptyClassElision> {
public:
  explicit BoundedInputArchive(std::istream &Stream)
      : InputArchive(this), m_Stream(Stream), m_Archive(Stream) {}

  template <std::streamsize ElementBytes>
  void loadBinary(void *Data, std::streamsize Bytes) {
    m_Archive.loadBinary<ElementBytes>(Data, Bytes);
  }
  [[nodiscard]] std::uint64_t bytesLeft() const {
    return static_cast<std::uint64_t>(
        std::max<std::streamsize>(m_Stream.rdbuf()->in_avail(), 0));
  }
  void checkSize(std::uint64_t Size) const {
    if (Size > bytesLeft())
      throw cereal::Exception("declares more elements than there are bytes");
  }

private:
  std::istream &m_Stream;
  cereal::PortableBinaryInputArchive m_Archive;
};

// cereal finds these by argument-dependent lookup, so their names are its own.
// NOLINTBEGIN(readability-identifier-naming)
template <class T>
std::enable_if_t<std::is_arithmetic_v<T>>
CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &Ar, T &Value) {
  Ar.loadBinary<sizeof(T)>(std::addressof(Value), sizeof(Value));
}
template <class T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &Ar,
                               cereal::NameValuePair<T> &Value) {
  Ar(Value.value);
}
template <class T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &Ar,
                               cereal::SizeTag<T> &Value) {
  Ar(Value.size);
  Ar.checkSize(Value.size);
}
template <class T>
void CEREAL_LOAD_FUNCTION_NAME(BoundedInputArchive &Ar,
                               cereal::BinaryData<T> &Value) {
  using Element = std::remove_pointer_t<T>;
  Ar.loadBinary<sizeof(Element)>(Value.data,
                                 static_cast<std::streamsize>(Value.size));
}
// NOLINTEND(readability-identifier-naming)

} // namespace fireflydrift::messages

// Values saved by cereal's archive are loaded by this one.
template <>
struct cereal::traits::detail::get_output_from_input<
    fireflydrift::messages::BoundedInputArchive> {
  using type = cereal::PortableBinaryOutputArchive;
};

#endif // FIREFLYDRIFT_MESSAGES_BOUNDED_ARCHIVE_H
