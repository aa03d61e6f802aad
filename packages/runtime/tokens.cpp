#include "runtime/tokens.h"

#include <array>
#include <fstream>
#include <ini.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

namespace fireflydrift::runtime {

static std::string digest(const std::string &Text) {
  std::array<unsigned char, SHA256_DIGEST_LENGTH> Bytes{};
  SHA256(reinterpret_cast<const unsigned char *>(Text.data()), Text.size(),
         Bytes.data());
  return {reinterpret_cast<const char *>(Bytes.data()), Bytes.size()};
}

static bool matches(const std::string &Stored, const std::string &Token) {
  std::string Given = digest(Token);
  return Stored.size() == Given.size() &&
         CRYPTO_memcmp(Stored.data(), Given.data(), Given.size()) == 0;
}

namespace {

struct ParseState {
  std::map<core::WorkspaceId, std::string> m_Tokens;
  bool m_Invalid = false;
};

} // namespace

static int onToken(void *UserData, const char *, const char *Name,
                   const char *Value) {
  auto &State = *static_cast<ParseState *>(UserData);
  State.m_Invalid = State.m_Invalid || *Value == '\0' || !core::isValidId(Name);
  State.m_Tokens[core::WorkspaceId(Name)] = digest(Value);
  return 1;
}

core::Outcome<Tokens> Tokens::read(const TokenFiles &Files) {
  Tokens Result;
  if (!Files.m_Operator.empty()) {
    std::ifstream Stream(Files.m_Operator);
    std::string Token;
    if (!Stream)
      return core::Reason{core::ReasonCode::Io, "operator_token_file",
                          "can't be read"};
    Stream >> Token;
    if (Token.empty())
      return core::Reason{core::ReasonCode::InvalidInput, "operator_token_file",
                          "contains no token"};
    Result.m_CheckOperator = true;
    Result.m_Operator = digest(Token);
  }
  if (!Files.m_Workspaces.empty()) {
    ParseState State;
    int Status = ini_parse(Files.m_Workspaces.c_str(), onToken, &State);
    if (Status < 0)
      return core::Reason{core::ReasonCode::Io, "workspace_tokens_file",
                          "can't be read"};
    if (Status > 0 || State.m_Invalid)
      return core::Reason{core::ReasonCode::InvalidInput,
                          "workspace_tokens_file",
                          "each line must be workspace = token"};
    Result.m_CheckWorkspaces = true;
    Result.m_Workspaces = std::move(State.m_Tokens);
  }
  return Result;
}

bool Tokens::isOperator(const std::string &Token) const {
  return !m_CheckOperator || matches(m_Operator, Token);
}

bool Tokens::mayAccessWorkspace(const core::WorkspaceId &Id,
                                const std::string &Token) const {
  if (!m_CheckWorkspaces || (m_CheckOperator && matches(m_Operator, Token)))
    return true;
  auto Found = m_Workspaces.find(Id);
  return Found != m_Workspaces.end() && matches(Found->second, Token);
}

} // namespace fireflydrift::runtime
