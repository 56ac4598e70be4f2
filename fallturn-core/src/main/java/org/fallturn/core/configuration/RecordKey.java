package org.fallturn.core.configuration;

/**
 * Names a configuration record.
 *
 * @param type type name as in {@link ConfigurationRecord}'s JSON, for example {@code tenant}
 * @param key its natural key
 */
public record RecordKey(String type, String key) {

  /** Type name of {@link TenantRecord}. */
  public static final String TENANT = "tenant";

  /** Type name of {@link ApiKeyRecord}. */
  public static final String API_KEY = "api-key";

  /** Type name of {@link ServiceRecord}. */
  public static final String SERVICE = "service";

  /** Type name of {@link RuleRecord}. */
  public static final String RULE = "rule";

  /** Type name of {@link PoolPolicyRecord}. */
  public static final String POOL_POLICY = "pool-policy";

  /** Type name of {@link MachineDrainRecord}. */
  public static final String MACHINE_DRAIN = "machine-drain";

  /** Type name of {@link OperatorRecord}. */
  public static final String OPERATOR = "operator";

  /** The name of a record. */
  public static RecordKey of(ConfigurationRecord record) {
    return new RecordKey(typeOf(record), record.key());
  }

  /** Type and key as one phrase. */
  public String describe() {
    return type + " '" + key + "'";
  }

  private static String typeOf(ConfigurationRecord record) {
    if (record instanceof TenantRecord) {
      return TENANT;
    } else if (record instanceof ApiKeyRecord) {
      return API_KEY;
    } else if (record instanceof ServiceRecord) {
      return SERVICE;
    } else if (record instanceof RuleRecord) {
      return RULE;
    } else if (record instanceof PoolPolicyRecord) {
      return POOL_POLICY;
    } else if (record instanceof MachineDrainRecord) {
      return MACHINE_DRAIN;
    }
    return OPERATOR;
  }
}
