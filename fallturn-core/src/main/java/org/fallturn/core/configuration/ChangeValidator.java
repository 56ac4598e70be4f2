package org.fallturn.core.configuration;

import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import org.fallturn.core.error.ErrorKind;
import org.fallturn.core.error.FallturnException;

/**
 * Checks a change against the image it would lead to: bounds of each record it puts, and every
 * reference that holds afterwards. The error names the culprit and what is allowed.
 */
public final class ChangeValidator {

  /** Most records one change may put or remove. */
  public static final int MAX_RECORDS = 1000;

  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
  private static final Pattern HASH = Pattern.compile("[0-9a-f]{64}");
  private static final double MAX_RATE = 1e12;
  private static final int MAX_COUNT = 10_000_000;
  private static final int MAX_ENGINES = 100_000;
  private static final int MAX_TEXT = 256;
  private static final double MAX_WEIGHT = 1_000_000;
  private static final long MAX_DEADLINE_MILLIS = 86_400_000;

  private ChangeValidator() {}

  /** Refuses a change that would leave the configuration inconsistent or out of bounds. */
  public static void validate(ConfigurationImage before, ConfigurationDelta delta)
      throws FallturnException {
    int records = delta.puts().size() + delta.removals().size();
    if (records > MAX_RECORDS) {
      throw invalid("the change has " + records + " records; at most " + MAX_RECORDS);
    }
    for (ConfigurationRecord record : delta.puts()) {
      checkBounds(record);
    }
    ConfigurationImage after = before.apply(delta);
    checkReferences(after);
    checkOperators(before, after);
  }

  private static void checkBounds(ConfigurationRecord record) throws FallturnException {
    String subject = RecordKey.of(record).describe();
    if (record instanceof TenantRecord tenant) {
      checkTenant(subject, tenant);
    } else if (record instanceof ApiKeyRecord apiKey) {
      checkHash(subject, apiKey.keyHash());
      checkText(subject, "label", apiKey.label());
    } else if (record instanceof ServiceRecord service) {
      checkService(subject, service);
    } else if (record instanceof RuleRecord rule) {
      checkRule(subject, rule);
    } else if (record instanceof PoolPolicyRecord policy) {
      checkPolicy(subject, policy);
    } else if (record instanceof MachineDrainRecord drain) {
      checkName(subject, "machine", drain.machine());
      checkText(subject, "reason", drain.reason());
    } else if (record instanceof OperatorRecord operator) {
      checkName(subject, "operator", operator.operator());
      checkHash(subject, operator.keyHash());
    }
  }

  private static void checkTenant(String subject, TenantRecord tenant) throws FallturnException {
    checkName(subject, "tenant", tenant.tenant().value());
    checkRange(subject, "requests_per_second", tenant.requestsPerSecond(), 0, MAX_RATE);
    checkRange(subject, "tokens_per_second", tenant.tokensPerSecond(), 0, MAX_RATE);
    checkRange(subject, "max_concurrent", tenant.maxConcurrent(), 0, MAX_COUNT);
    checkRange(subject, "max_queued", tenant.maxQueued(), 0, MAX_COUNT);
    checkRange(subject, "share_weight", tenant.shareWeight(), 0, MAX_WEIGHT);
    if (tenant.shareWeight() <= 0) {
      throw invalid(subject + ": share_weight must be above 0");
    }
  }

  private static void checkService(String subject, ServiceRecord service) throws FallturnException {
    checkName(subject, "service", service.service().value());
    long longest = service.maxDeadlineMillis();
    checkRange(subject, "max_deadline_ms", longest, 1, MAX_DEADLINE_MILLIS);
    checkRange(subject, "default_deadline_ms", service.defaultDeadlineMillis(), 1, longest);
    if (service.target() instanceof ServiceRecord.ModelTarget model) {
      checkName(subject, "model", model.model().value());
      checkText(subject, "version", model.version());
      checkText(subject, "adapter", model.adapter());
    }
  }

  private static void checkRule(String subject, RuleRecord rule) throws FallturnException {
    checkRange(subject, "requests_per_second", rule.requestsPerSecond(), 0, MAX_RATE);
    checkRange(subject, "tokens_per_second", rule.tokensPerSecond(), 0, MAX_RATE);
    checkText(subject, "cache_scope", rule.cacheScope());
  }

  private static void checkPolicy(String subject, PoolPolicyRecord policy)
      throws FallturnException {
    checkName(subject, "model", policy.model().value());
    checkRange(subject, "role_change_weight", policy.roleChangeWeight(), 0, MAX_WEIGHT);
    checkRange(subject, "min_prefill", policy.minPrefill(), 0, MAX_ENGINES);
    checkRange(subject, "min_decode", policy.minDecode(), 0, MAX_ENGINES);
    checkRange(subject, "max_changing", policy.maxChanging(), 0, MAX_ENGINES);
    checkText(subject, "model_version", policy.modelVersion());
  }

  private static void checkReferences(ConfigurationImage after) throws FallturnException {
    for (ApiKeyRecord apiKey : after.apiKeys().values()) {
      String subject = "api-key '" + apiKey.label() + "'";
      requireTenant(after, subject, apiKey.tenant().value());
    }
    for (RuleRecord rule : after.rules().values()) {
      String subject = RecordKey.of(rule).describe();
      requireTenant(after, subject, rule.tenant().value());
      require(after.services(), subject, "service", rule.service().value());
    }
  }

  private static void requireTenant(ConfigurationImage after, String subject, String tenant)
      throws FallturnException {
    require(after.tenants(), subject, "tenant", tenant);
  }

  private static void require(Map<String, ?> known, String subject, String kind, String name)
      throws FallturnException {
    if (!known.containsKey(name)) {
      List<String> some = known.keySet().stream().sorted().limit(10).toList();
      throw invalid(
          subject + " needs " + kind + " '" + name + "', which would not exist; there are " + some);
    }
  }

  private static void checkOperators(ConfigurationImage before, ConfigurationImage after)
      throws FallturnException {
    long hashes =
        after.operators().values().stream().map(OperatorRecord::keyHash).distinct().count();
    if (hashes < after.operators().size()) {
      throw invalid("two operators would have the same key; each needs its own");
    }
    if (!before.operators().isEmpty() && !hasOperator(after)) {
      throw invalid("no operator with role OPERATOR would be left; at least one must stay");
    }
  }

  private static boolean hasOperator(ConfigurationImage image) {
    return image.operators().values().stream()
        .anyMatch(operator -> operator.role() == OperatorRecord.Role.OPERATOR);
  }

  private static void checkName(String subject, String column, String name)
      throws FallturnException {
    if (!NAME.matcher(name).matches()) {
      throw invalid(
          subject
              + ": "
              + column
              + " must be 1 to 64 letters, digits, dots, dashes or underscores, the first a letter"
              + " or digit");
    }
  }

  private static void checkHash(String subject, String hash) throws FallturnException {
    if (hash == null || !HASH.matcher(hash).matches()) {
      throw invalid(subject + ": key_hash must be a SHA-256 in 64 lower-case hexadecimal digits");
    }
  }

  private static void checkText(String subject, String column, String text)
      throws FallturnException {
    if (text == null || text.length() > MAX_TEXT) {
      throw invalid(
          subject + ": " + column + " must be text of at most " + MAX_TEXT + " characters");
    }
  }

  private static void checkRange(
      String subject, String column, double value, double lowest, double highest)
      throws FallturnException {
    if (!(value >= lowest && value <= highest)) {
      throw invalid(
          String.format(
              java.util.Locale.ROOT,
              "%s: %s must be %s to %s, but is %s",
              subject,
              column,
              plain(lowest),
              plain(highest),
              plain(value)));
    }
  }

  private static String plain(double value) {
    return Double.isFinite(value)
        ? new java.math.BigDecimal(value).stripTrailingZeros().toPlainString()
        : Double.toString(value);
  }

  private static FallturnException invalid(String message) {
    return new FallturnException(ErrorKind.INVALID_REQUEST, message);
  }
}
