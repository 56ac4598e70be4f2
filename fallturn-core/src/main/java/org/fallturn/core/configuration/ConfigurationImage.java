package org.fallturn.core.configuration;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.ServiceName;
import org.fallturn.core.domain.TenantName;

/**
 * The configuration at one version. Immutable; any thread may read it.
 *
 * @param version number of accepted changes it contains; 0 is empty
 * @param tenants by tenant name
 * @param apiKeys by key hash
 * @param services by service name
 * @param rules by {@code tenant/service}
 * @param poolPolicies by model
 * @param drains by machine id
 * @param operators by operator name
 */
public record ConfigurationImage(
    long version,
    Map<String, TenantRecord> tenants,
    Map<String, ApiKeyRecord> apiKeys,
    Map<String, ServiceRecord> services,
    Map<String, RuleRecord> rules,
    Map<String, PoolPolicyRecord> poolPolicies,
    Map<String, MachineDrainRecord> drains,
    Map<String, OperatorRecord> operators) {

  /** The configuration before the first change. */
  public static final ConfigurationImage EMPTY =
      new ConfigurationImage(
          0, Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of(), Map.of());

  /** Private copies of the maps. */
  public ConfigurationImage {
    tenants = Map.copyOf(tenants);
    apiKeys = Map.copyOf(apiKeys);
    services = Map.copyOf(services);
    rules = Map.copyOf(rules);
    poolPolicies = Map.copyOf(poolPolicies);
    drains = Map.copyOf(drains);
    operators = Map.copyOf(operators);
  }

  /** The tenant of that name. */
  public Optional<TenantRecord> tenant(TenantName tenant) {
    return Optional.ofNullable(tenants.get(tenant.value()));
  }

  /** The tenant that owns an API key, by the key's hash. */
  public Optional<TenantRecord> tenantOfKey(String keyHash) {
    return Optional.ofNullable(apiKeys.get(keyHash)).flatMap(key -> tenant(key.tenant()));
  }

  /** The service of that name. */
  public Optional<ServiceRecord> service(ServiceName service) {
    return Optional.ofNullable(services.get(service.value()));
  }

  /** The rule that lets a tenant use a service. */
  public Optional<RuleRecord> rule(TenantName tenant, ServiceName service) {
    return Optional.ofNullable(rules.get(tenant.value() + "/" + service.value()));
  }

  /** The policy of a model's pools. */
  public Optional<PoolPolicyRecord> poolPolicy(ModelName model) {
    return Optional.ofNullable(poolPolicies.get(model.value()));
  }

  /** Whether an operator has asked for a machine to get no new work. */
  public boolean isDrained(String machine) {
    return drains.containsKey(machine);
  }

  /** The record of that name, whatever its kind. */
  public Optional<ConfigurationRecord> find(RecordKey key) {
    return Optional.ofNullable(records(key.type()).get(key.key()));
  }

  /**
   * All records of a kind by key.
   *
   * @throws IllegalArgumentException when there is no such kind
   */
  public Map<String, ? extends ConfigurationRecord> records(String type) {
    return switch (type) {
      case RecordKey.TENANT -> tenants;
      case RecordKey.API_KEY -> apiKeys;
      case RecordKey.SERVICE -> services;
      case RecordKey.RULE -> rules;
      case RecordKey.POOL_POLICY -> poolPolicies;
      case RecordKey.MACHINE_DRAIN -> drains;
      case RecordKey.OPERATOR -> operators;
      default -> throw new IllegalArgumentException("unknown record type " + type);
    };
  }

  /**
   * The image after one more change.
   *
   * @throws IllegalArgumentException when the delta is not the next one
   */
  public ConfigurationImage apply(ConfigurationDelta delta) {
    if (delta.version() != version + 1) {
      throw new IllegalArgumentException(
          "delta " + delta.version() + " does not follow version " + version);
    }
    ImageBuilder builder = new ImageBuilder(this);
    delta.removals().forEach(builder::remove);
    delta.puts().forEach(builder::put);
    return builder.build(delta.version());
  }

  /** Mutable copy used while one delta is applied. */
  private static final class ImageBuilder {
    private final Map<String, TenantRecord> tenants;
    private final Map<String, ApiKeyRecord> apiKeys;
    private final Map<String, ServiceRecord> services;
    private final Map<String, RuleRecord> rules;
    private final Map<String, PoolPolicyRecord> poolPolicies;
    private final Map<String, MachineDrainRecord> drains;
    private final Map<String, OperatorRecord> operators;

    ImageBuilder(ConfigurationImage image) {
      tenants = new HashMap<>(image.tenants);
      apiKeys = new HashMap<>(image.apiKeys);
      services = new HashMap<>(image.services);
      rules = new HashMap<>(image.rules);
      poolPolicies = new HashMap<>(image.poolPolicies);
      drains = new HashMap<>(image.drains);
      operators = new HashMap<>(image.operators);
    }

    void put(ConfigurationRecord record) {
      if (record instanceof TenantRecord tenant) {
        tenants.put(tenant.key(), tenant);
      } else if (record instanceof ApiKeyRecord apiKey) {
        apiKeys.put(apiKey.key(), apiKey);
      } else if (record instanceof ServiceRecord service) {
        services.put(service.key(), service);
      } else if (record instanceof RuleRecord rule) {
        rules.put(rule.key(), rule);
      } else if (record instanceof PoolPolicyRecord policy) {
        poolPolicies.put(policy.key(), policy);
      } else if (record instanceof MachineDrainRecord drain) {
        drains.put(drain.key(), drain);
      } else if (record instanceof OperatorRecord operator) {
        operators.put(operator.key(), operator);
      }
    }

    void remove(RecordKey key) {
      mapOf(key.type()).remove(key.key());
    }

    private Map<String, ? extends ConfigurationRecord> mapOf(String type) {
      return switch (type) {
        case RecordKey.TENANT -> tenants;
        case RecordKey.API_KEY -> apiKeys;
        case RecordKey.SERVICE -> services;
        case RecordKey.RULE -> rules;
        case RecordKey.POOL_POLICY -> poolPolicies;
        case RecordKey.MACHINE_DRAIN -> drains;
        case RecordKey.OPERATOR -> operators;
        default -> throw new IllegalArgumentException("unknown record type " + type);
      };
    }

    ConfigurationImage build(long version) {
      return new ConfigurationImage(
          version, tenants, apiKeys, services, rules, poolPolicies, drains, operators);
    }
  }
}
