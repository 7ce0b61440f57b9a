/// Valid documents of the users' platform, for tests that parse or corrupt them.
#pragma once

namespace pumicemast::tests {

inline constexpr char kConfiguration[] = R"({"version":7,"routes":[
    {"name":"r","host":"h","pathPrefix":"/a/","kind":"stream","timeoutMs":6000,"goalMs":400,
     "priority":1,"backends":[{"service":"s","weight":90},{"service":"t","weight":10}],
     "attempts":2,"public":true,"resumable":true,"gapGoalMs":300}],
    "services":[{"name":"s","maxConns":9,"engine":{"slots":16,"stride":5,"read_per_s":20700.0,
     "layers":16,"chunks":96,"chunkBytes":24576,"models":[{"name":"m","warmS":0.3}],
     "usual":{"prompt":979,"answer":92}}},{"name":"o","origin":"127.0.0.1:80"}],
    "limits":{"maxHeaderBytes":100,"idleTimeoutMs":15000},
    "tenants":[{"name":"acme","apiKeys":["k"],"priority":2}]})";

}  // namespace pumicemast::tests
