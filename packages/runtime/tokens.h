// Authentication tokens of operators and workspaces.
#ifndef FIREFLYDRIFT_RUNTIME_TOKENS_H
#define FIREFLYDRIFT_RUNTIME_TOKENS_H

#include "core/ids.h"
#include "core/outcome.h"

#include <map>
#include <string>

namespace fireflydrift::runtime {

// Paths of the token files. An empty path disables the check against that file.
struct TokenFiles {
  std::string m_Operator;
  std::string m_Workspaces;

  friend bool operator==(const TokenFiles &, const TokenFiles &) = default;
};

// The accepted tokens. Only digests are stored, and they are compared in
// constant time.
class Tokens {
public:
  Tokens() = default;
  // Reads the files. Fails with Io, or with InvalidInput for an empty token or
  // an invalid line.
  [[nodiscard]] static core::Outcome<Tokens> read(const TokenFiles &Files);

  // True for the operators' token, and for any token when the operator check is
  // disabled.
  [[nodiscard]] bool isOperator(const std::string &Token) const;
  // True for the workspace's own token and for the operators' token, and for
  // any token when the workspace check is disabled.
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
