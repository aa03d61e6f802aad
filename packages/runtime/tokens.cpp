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

struct Reading {
  std::map<core::WorkspaceId, std::string> m_Tokens;
  bool m_Broken = false;
};

} // namespace

static int onToken(void *User, const char *, const char *Name,
                   const char *Value) {
  auto &In = *static_cast<Reading *>(User);
  In.m_Broken = In.m_Broken || *Value == '\0' || !core::isValidId(Name);
  In.m_Tokens[core::WorkspaceId(Name)] = digest(Value);
  return 1;
}

core::Outcome<Tokens> Tokens::read(const TokenFiles &Files) {
  Tokens Read;
  if (!Files.m_Operator.empty()) {
    std::ifstream Stream(Files.m_Operator);
    std::string Token;
    if (!Stream)
      return core::Reason{core::ReasonCode::Io, "operator_token_file",
                          "can't be read"};
    Stream >> Token;
    if (Token.empty())
      return core::Reason{core::ReasonCode::InvalidInput, "operator_token_file",
                          "holds no token"};
    Read.m_CheckOperator = true;
    Read.m_Operator = digest(Token);
  }
  if (!Files.m_Workspaces.empty()) {
    Reading In;
    int Result = ini_parse(Files.m_Workspaces.c_str(), onToken, &In);
    if (Result < 0)
      return core::Reason{core::ReasonCode::Io, "workspace_tokens_file",
                          "can't be read"};
    if (Result > 0 || In.m_Broken)
      return core::Reason{core::ReasonCode::InvalidInput,
                          "workspace_tokens_file",
                          "each line must be workspace = token"};
    Read.m_CheckWorkspaces = true;
    Read.m_Workspaces = std::move(In.m_Tokens);
  }
  return Read;
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
