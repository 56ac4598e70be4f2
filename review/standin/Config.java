/** The operator's configuration and the engines' entries, as the pages show them. */
final class Config {

  static final String HOST = "ficu95.example";

  private Config() {}

  static String configuration(int version, int timeoutMillis) {
    return """
        {"version":%d,"routes":[
        {"name":"long","host":"ficu95.example","pathPrefix":"/lohu930/","type":"streaming",
         "timeoutMs":5000,"targetLatencyMs":500,"priority":1,"service":"llm",
         "maxAttempts":1,"sticky":true,"resumable":false,"gapTargetMs":150},
        {"name":"short","host":"ficu95.example","pathPrefix":"/mera411/","type":"streaming",
         "timeoutMs":3000,"targetLatencyMs":250,"priority":0,"service":"llm",
         "maxAttempts":2,"sticky":true,"resumable":true,"gapTargetMs":150},
        {"name":"once","host":"ficu95.example","pathPrefix":"/pule252/","type":"non_idempotent",
         "timeoutMs":%d,"targetLatencyMs":150,"priority":2,"service":"app","maxAttempts":1},
        {"name":"again","host":"ficu95.example","pathPrefix":"/puxa403/","type":"idempotent",
         "timeoutMs":%d,"targetLatencyMs":150,"priority":2,"service":"app","maxAttempts":2},
        {"name":"batch","host":"ficu95.example","pathPrefix":"/taze777/","type":"non_idempotent",
         "timeoutMs":10000,"targetLatencyMs":5000,"priority":3,"service":"batch","maxAttempts":1}],
        "services":[{"name":"llm","healthPath":"/health","maxConnections":300,
         "engine":{"slots":48,"kvCapacityTokens":495255,"kvTokenBytes":163840,
         "linkMbps":1900000.0,"handleTtlS":5.0,"stageSwitchS":0.81}},
         {"name":"app","healthPath":"/health","maxConnections":100},
         {"name":"batch","healthPath":"/health","maxConnections":100}],
        "limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,
         "idleTimeoutMs":15000}}
        """
        .formatted(version, timeoutMillis, timeoutMillis);
  }

  /** The same for two tenants. */
  static String withTenants(String configuration) {
    int limits = configuration.indexOf("\"limits\"");
    return configuration.substring(0, limits)
        + "\"tenants\":[{\"name\":\"huka270\",\"apiKeys\":[\"key-a\"]},"
        + "{\"name\":\"puhu251\",\"apiKeys\":[\"key-b\"]}],\n"
        + configuration.substring(limits);
  }
}
