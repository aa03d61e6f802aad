// Tokens of operators and workspaces.
#ifndef FIREFLYDRIFT_RUNTIME_TOKENS_H
#define FIREFLYDRIFT_RUNTIME_TOKENS_H

#include "core/ids.h"
#include "core/outcome.h"

#include <map>
#include <string>

namespace fireflydrift::runtime {

// Where the tokens are; an empty name turns the check off.
struct TokenFiles {
  std::string m_Operator;
  std::string m_Workspaces;

  friend bool operator==(const TokenFiles &, const TokenFiles &) = default;
};

// The tokens in force. Only digests are kept, and they are compared in
// constant time.
class Tokens {
public:
  Tokens() = default;
  // Reads the files. Fails with Io, or InvalidInput for an empty token.
  [[nodiscard]] static core::Outcome<Tokens> read(const TokenFiles &Files);

  [[nodiscard]] bool isOperator(const std::string &Token) const;
  // A workspace's own token or the operators' token.
  [[nodiscard]] bool mayAccessWorkspace(const core::WorkspaceId &Id,
                                        const std::string &Token) const;

  friend bool operator==(const Tokens &, const Tokens &) = default;

private:
  bool m_CheckOperator = false;
  bool m_CheckWorkspaces = false;
  std::string m_Operator;
  std::map<core::WorkspaceId, std::string> m_Workspaces;
};

} // namespace fireflydrift::runtime

#endif // FIREFLYDRIFT_RUNTIME_TOKENS_H
