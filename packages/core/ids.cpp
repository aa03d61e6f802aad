#include "core/ids.h"

#include <algorithm>

namespace fireflydrift::core {

static bool isIdCharacter(char C) noexcept {
  bool Letter = (C >= 'a' && C <= 'z') || (C >= 'A' && C <= 'Z');
  bool Digit = C >= '0' && C <= '9';
  return Letter || Digit || C == '-' || C == '_' || C == '.' || C == ':';
}

bool isValidId(const std::string &Text) noexcept {
  return !Text.empty() && Text.size() <= MaxIdBytes &&
         std::all_of(Text.begin(), Text.end(), isIdCharacter);
}

} // namespace fireflydrift::core
