package org.fallturn.core.query;

import java.util.List;
import java.util.Optional;
import org.fallturn.core.configuration.ApiKeyRecord;
import org.fallturn.core.configuration.MachineDrainRecord;
import org.fallturn.core.configuration.OperatorRecord;
import org.fallturn.core.configuration.PoolPolicyRecord;
import org.fallturn.core.configuration.RecordKey;
import org.fallturn.core.configuration.RuleRecord;
import org.fallturn.core.configuration.ServiceRecord;
import org.fallturn.core.configuration.TenantRecord;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.ServiceName;
import org.fallturn.core.domain.TenantName;
import org.fallturn.core.domain.Urgency;
import org.fallturn.core.error.FallturnException;

/** The configuration tables: the only ones that statements can change. */
public final class ConfigurationTables {

  /** Name of the table of API keys. */
  public static final String API_KEYS = "api_keys";

  /** Name of the table of operators. */
  public static final String OPERATORS = "operators";

  /** Column that holds the hash of a key. */
  public static final String KEY_HASH = "key_hash";

  private static final int DEFAULT_CONCURRENT = 100;
  private static final int DEFAULT_QUEUED = 100;

  private static final List<ConfigurationTable> ALL =
      List.of(tenants(), apiKeys(), services(), rules(), poolPolicies(), drains(), operators());

  private ConfigurationTables() {}

  /** All of them. */
  public static List<ConfigurationTable> all() {
    return ALL;
  }

  /** The table of a name, whatever its case. */
  public static Optional<ConfigurationTable> find(String name) {
    return ALL.stream().filter(table -> table.schema().name().equalsIgnoreCase(name)).findFirst();
  }

  /** The table of a record type. */
  public static ConfigurationTable ofType(String recordType) {
    return ALL.stream()
        .filter(table -> table.recordType().equals(recordType))
        .findFirst()
        .orElseThrow();
  }

  private static ConfigurationTable tenants() {
    return new ConfigurationTable(
        TableSchema.of(
            "tenants",
            Column.text("tenant"),
            Column.decimal("requests_per_second"),
            Column.decimal("tokens_per_second"),
            Column.integer("max_concurrent"),
            Column.integer("max_queued"),
            Column.decimal("share_weight")),
        RecordKey.TENANT,
        List.of("tenant"),
        record -> {
          TenantRecord tenant = (TenantRecord) record;
          return Row.of(
              tenant.tenant(),
              tenant.requestsPerSecond(),
              tenant.tokensPerSecond(),
              tenant.maxConcurrent(),
              tenant.maxQueued(),
              tenant.shareWeight());
        },
        values ->
            new TenantRecord(
                new TenantName(values.text("tenant")),
                values.decimal("requests_per_second"),
                values.decimal("tokens_per_second"),
                values.count("max_concurrent", DEFAULT_CONCURRENT),
                values.count("max_queued", DEFAULT_QUEUED),
                values.decimal("share_weight", 1)));
  }

  private static ConfigurationTable apiKeys() {
    return new ConfigurationTable(
        TableSchema.of(
            API_KEYS, Column.text(KEY_HASH), Column.text("tenant"), Column.text("label")),
        RecordKey.API_KEY,
        List.of(KEY_HASH),
        record -> {
          ApiKeyRecord apiKey = (ApiKeyRecord) record;
          return Row.of(apiKey.keyHash(), apiKey.tenant(), apiKey.label());
        },
        values ->
            new ApiKeyRecord(
                values.text(KEY_HASH),
                new TenantName(values.text("tenant")),
                values.text("label")));
  }

  private static ConfigurationTable services() {
    return new ConfigurationTable(
        TableSchema.of(
            "services",
            Column.text("service"),
            Column.text("kind"),
            Column.text("model"),
            Column.text("version"),
            Column.text("adapter"),
            Column.bool("repeatable"),
            Column.integer("default_deadline_ms"),
            Column.integer("max_deadline_ms")),
        RecordKey.SERVICE,
        List.of("service"),
        record -> serviceRow((ServiceRecord) record),
        values ->
            new ServiceRecord(
                new ServiceName(values.text("service")),
                target(values),
                values.flag("repeatable"),
                values.whole("default_deadline_ms"),
                values.whole("max_deadline_ms")));
  }

  private static Row serviceRow(ServiceRecord service) {
    ServiceRecord.ModelTarget model =
        service.target() instanceof ServiceRecord.ModelTarget target ? target : null;
    return Row.of(
        service.service(),
        model == null ? TargetKind.APPLICATION : TargetKind.MODEL,
        model == null ? null : model.model(),
        model == null ? null : model.version(),
        model == null ? null : model.adapter(),
        service.repeatable(),
        service.defaultDeadlineMillis(),
        service.maxDeadlineMillis());
  }

  private static ServiceRecord.Target target(RowValues values) throws FallturnException {
    boolean hasModel = !values.optionalText("model").isBlank();
    TargetKind absent = hasModel ? TargetKind.MODEL : TargetKind.APPLICATION;
    TargetKind kind = values.constant("kind", TargetKind.class, absent);
    if (kind == TargetKind.MODEL) {
      return new ServiceRecord.ModelTarget(
          new ModelName(values.text("model")),
          values.optionalText("version"),
          values.optionalText("adapter"));
    }
    if (hasModel) {
      throw values.invalid(
          "model", "must be left out for kind APPLICATION", values.values().get("model"));
    }
    return new ServiceRecord.ApplicationTarget();
  }

  private static ConfigurationTable rules() {
    return new ConfigurationTable(
        TableSchema.of(
            "rules",
            Column.text("tenant"),
            Column.text("service"),
            Column.decimal("requests_per_second"),
            Column.decimal("tokens_per_second"),
            Column.text("max_urgency"),
            Column.text("cache_scope")),
        RecordKey.RULE,
        List.of("tenant", "service"),
        record -> {
          RuleRecord rule = (RuleRecord) record;
          return Row.of(
              rule.tenant(),
              rule.service(),
              rule.requestsPerSecond(),
              rule.tokensPerSecond(),
              rule.maxUrgency(),
              rule.cacheScope());
        },
        values ->
            new RuleRecord(
                new TenantName(values.text("tenant")),
                new ServiceName(values.text("service")),
                values.decimal("requests_per_second"),
                values.decimal("tokens_per_second"),
                values.constant("max_urgency", Urgency.class, Urgency.NORMAL),
                values.optionalText("cache_scope")));
  }

  private static ConfigurationTable poolPolicies() {
    return new ConfigurationTable(
        TableSchema.of(
            "pool_policies",
            Column.text("model"),
            Column.decimal("role_change_weight"),
            Column.integer("min_prefill"),
            Column.integer("min_decode"),
            Column.integer("max_changing"),
            Column.text("model_version")),
        RecordKey.POOL_POLICY,
        List.of("model"),
        record -> {
          PoolPolicyRecord policy = (PoolPolicyRecord) record;
          return Row.of(
              policy.model(),
              policy.roleChangeWeight(),
              policy.minPrefill(),
              policy.minDecode(),
              policy.maxChanging(),
              policy.modelVersion());
        },
        values ->
            new PoolPolicyRecord(
                new ModelName(values.text("model")),
                values.decimal("role_change_weight", 0),
                values.count("min_prefill", 1),
                values.count("min_decode", 1),
                values.count("max_changing", 1),
                values.optionalText("model_version")));
  }

  private static ConfigurationTable drains() {
    return new ConfigurationTable(
        TableSchema.of("machine_drains", Column.text("machine"), Column.text("reason")),
        RecordKey.MACHINE_DRAIN,
        List.of("machine"),
        record -> {
          MachineDrainRecord drain = (MachineDrainRecord) record;
          return Row.of(drain.machine(), drain.reason());
        },
        values -> new MachineDrainRecord(values.text("machine"), values.optionalText("reason")));
  }

  private static ConfigurationTable operators() {
    return new ConfigurationTable(
        TableSchema.of(
            OPERATORS, Column.text("operator"), Column.text(KEY_HASH), Column.text("role")),
        RecordKey.OPERATOR,
        List.of("operator"),
        record -> {
          OperatorRecord operator = (OperatorRecord) record;
          return Row.of(operator.operator(), operator.keyHash(), operator.role());
        },
        values ->
            new OperatorRecord(
                values.text("operator"),
                values.text(KEY_HASH),
                values.constant("role", OperatorRecord.Role.class, OperatorRecord.Role.VIEWER)));
  }

  /** What a service's {@code kind} column says. */
  private enum TargetKind {
    MODEL,
    APPLICATION
  }
}
