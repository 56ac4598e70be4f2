package org.fallturn.rehearsal.fleet;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.time.Instant;
import java.util.HexFormat;
import java.util.List;
import java.util.Locale;
import org.fallturn.core.configuration.ApiKeyRecord;
import org.fallturn.core.configuration.ConfigurationDelta;
import org.fallturn.core.configuration.ConfigurationRecord;
import org.fallturn.core.configuration.OperatorRecord;
import org.fallturn.core.configuration.PoolPolicyRecord;
import org.fallturn.core.configuration.RuleRecord;
import org.fallturn.core.configuration.ServiceRecord;
import org.fallturn.core.configuration.TenantRecord;
import org.fallturn.core.domain.ModelName;
import org.fallturn.core.domain.ServiceName;
import org.fallturn.core.domain.TenantName;
import org.fallturn.core.domain.Urgency;
import org.fallturn.core.port.table.RowKey;
import org.fallturn.core.port.table.RowWrite;
import org.fallturn.core.port.table.StoreException;
import org.fallturn.core.port.table.TableRow;
import org.fallturn.core.port.table.TableService;
import org.fallturn.core.port.table.TableTransaction;
import org.fallturn.node.json.JsonCodec;

/**
 * The configuration every rehearsed fleet starts with: two tenants that may use one model and two
 * applications, a repeatable one and one that must run at most once. Written straight into the
 * table service as the first accepted change, before any node starts.
 */
public final class FleetConfiguration {

  /** Model that every engine serves, and the service in front of it. */
  public static final String MODEL = "assistant";

  /** Application service that may be repeated. */
  public static final String REPEATABLE_SERVICE = "lookup";

  /** Application service that runs at most once. */
  public static final String ONCE_SERVICE = "reservations";

  /** Key of the first tenant. */
  public static final String FIRST_KEY = "key-of-the-first-tenant";

  /** Key of the second tenant. */
  public static final String SECOND_KEY = "key-of-the-second-tenant";

  /** Key of the operator. */
  public static final String OPERATOR_KEY = "key-of-the-operator";

  private static final long DEFAULT_DEADLINE_MILLIS = 30_000;
  private static final long MAX_DEADLINE_MILLIS = 120_000;
  private static final double UNLIMITED = 1_000_000;
  private static final int MANY = 10_000;

  private FleetConfiguration() {}

  /** Writes the first accepted change. */
  public static void write(TableService table, JsonCodec codec) throws StoreException {
    if (!table.transact(firstChange(codec)).committed()) {
      throw new StoreException("the table service is not empty", true, null);
    }
  }

  /** The transaction that makes the first accepted change on an empty table. */
  public static TableTransaction firstChange(JsonCodec codec) {
    return firstChange(codec, 1, 1);
  }

  /**
   * The same with other bounds on role changes.
   *
   * @param minPrefill engines that must keep the prefill role
   * @param minDecode engines that must keep the decode role
   */
  public static TableTransaction firstChange(JsonCodec codec, int minPrefill, int minDecode) {
    ConfigurationDelta delta =
        new ConfigurationDelta(
            1,
            "rehearsal",
            "rehearsal",
            Instant.now(),
            "first change",
            records(minPrefill, minDecode),
            List.of());
    RowKey head = new RowKey("configuration_head", "head");
    RowKey change =
        new RowKey("configuration_changes", String.format(Locale.ROOT, "%020d", delta.version()));
    String headValue = codec.encodeText(new Head(delta.version(), delta.attemptId()));
    return new TableTransaction(
        List.of(
            new RowWrite(head, TableRow.ABSENT, headValue),
            new RowWrite(change, TableRow.ABSENT, codec.encodeText(delta))));
  }

  private record Head(long version, String attemptId) {}

  private static List<ConfigurationRecord> records(int minPrefill, int minDecode) {
    TenantName first = new TenantName("household-orders");
    TenantName second = new TenantName("address-desk");
    return List.of(
        tenant(first),
        tenant(second),
        new ApiKeyRecord(sha256(FIRST_KEY), first, "rehearsal"),
        new ApiKeyRecord(sha256(SECOND_KEY), second, "rehearsal"),
        new OperatorRecord("rehearsal", sha256(OPERATOR_KEY), OperatorRecord.Role.OPERATOR),
        new ServiceRecord(
            new ServiceName(MODEL),
            new ServiceRecord.ModelTarget(new ModelName(MODEL), "", ""),
            true,
            DEFAULT_DEADLINE_MILLIS,
            MAX_DEADLINE_MILLIS),
        application(REPEATABLE_SERVICE, true),
        application(ONCE_SERVICE, false),
        rule(first, MODEL),
        rule(second, MODEL),
        rule(first, REPEATABLE_SERVICE),
        rule(second, REPEATABLE_SERVICE),
        rule(first, ONCE_SERVICE),
        rule(second, ONCE_SERVICE),
        new PoolPolicyRecord(new ModelName(MODEL), 1, minPrefill, minDecode, 1, ""));
  }

  private static TenantRecord tenant(TenantName name) {
    return new TenantRecord(name, UNLIMITED, UNLIMITED, MANY, MANY, 1);
  }

  private static ServiceRecord application(String name, boolean repeatable) {
    return new ServiceRecord(
        new ServiceName(name),
        new ServiceRecord.ApplicationTarget(),
        repeatable,
        DEFAULT_DEADLINE_MILLIS,
        MAX_DEADLINE_MILLIS);
  }

  private static RuleRecord rule(TenantName tenant, String service) {
    return new RuleRecord(
        tenant, new ServiceName(service), UNLIMITED, UNLIMITED, Urgency.EMERGENCY, "");
  }

  private static String sha256(String key) {
    try {
      byte[] hash =
          MessageDigest.getInstance("SHA-256").digest(key.getBytes(StandardCharsets.UTF_8));
      return HexFormat.of().formatHex(hash);
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java runtime has SHA-256", e);
    }
  }
}
