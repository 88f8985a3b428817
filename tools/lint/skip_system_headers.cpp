/// \file Plugin of clang-tidy: checks visit only declarations outside of system headers.
///
/// clang-tidy matches its checks against all that a source includes and then drops what it found in
/// system headers; with the standard library and Boost that is nine tenths of its time. clangd
/// limits its checks in the same way.
#include <memory>
#include <string>
#include <vector>

#include "clang/AST/ASTConsumer.h"
#include "clang/AST/ASTContext.h"
#include "clang/AST/Decl.h"
#include "clang/Basic/SourceManager.h"
#include "clang/Frontend/CompilerInstance.h"
#include "clang/Frontend/FrontendAction.h"
#include "clang/Frontend/FrontendPluginRegistry.h"

namespace {

class ScopeConsumer : public clang::ASTConsumer {
 public:
  void HandleTranslationUnit(clang::ASTContext& context) override {
    const clang::SourceManager& sources = context.getSourceManager();
    std::vector<clang::Decl*> scope;
    for (clang::Decl* declaration : context.getTranslationUnitDecl()->decls()) {
      const clang::SourceLocation location = declaration->getLocation();
      if (location.isValid() && !sources.isInSystemHeader(location)) {
        scope.push_back(declaration);
      }
    }
    context.setTraversalScope(scope);
  }
};

class SkipSystemHeaders : public clang::PluginASTAction {
 protected:
  std::unique_ptr<clang::ASTConsumer> CreateASTConsumer(clang::CompilerInstance& /*compiler*/,
                                                        llvm::StringRef /*file*/) override {
    return std::make_unique<ScopeConsumer>();
  }
  bool ParseArgs(const clang::CompilerInstance& /*compiler*/,
                 const std::vector<std::string>& /*arguments*/) override {
    return true;
  }
  ActionType getActionType() override { return AddBeforeMainAction; }
};

const clang::FrontendPluginRegistry::Add<SkipSystemHeaders> registration(
    "gorsetrail-skip-system-headers", "limits clang-tidy's checks to the project's declarations");

}  // namespace
