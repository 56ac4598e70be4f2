package org.fallturn.rehearsal.scale;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.fallturn.core.configuration.ConfigurationDelta;
import org.fallturn.core.configuration.ConfigurationRecord;
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

/** The first accepted change of the scale experiment: all tenants, models and rules. */
final class ScaleConfiguration {

  static final int MODELS = 11;
  static final int TENANTS = 410;

  private static final long DEADLINE_MILLIS = 30_000;
  private static final double MANY = 1e6;
  private static final int MANY_REQUESTS = 10_000;

  private ScaleConfiguration() {}

  static ModelName model(int index) {
    return new ModelName("model-" + index);
  }

  static List<String> models() {
    List<String> models = new ArrayList<>();
    for (int index = 0; index < MODELS; index++) {
      models.add(model(index).value());
    }
    return models;
  }

  static void write(TableService table, JsonCodec codec) throws StoreException {
    ConfigurationDelta delta =
        new ConfigurationDelta(
            1, "rehearsal", "rehearsal", Instant.now(), "first change", records(), List.of());
    RowKey head = new RowKey("configuration_head", "head");
    RowKey change =
        new RowKey("configuration_changes", String.format(Locale.ROOT, "%020d", delta.version()));
    String headValue = codec.encodeText(new Head(delta.version(), delta.attemptId()));
    table.transact(
        new TableTransaction(
            List.of(
                new RowWrite(head, TableRow.ABSENT, headValue),
                new RowWrite(change, TableRow.ABSENT, codec.encodeText(delta)))));
  }

  private record Head(long version, String attemptId) {}

  private static List<ConfigurationRecord> records() {
    List<ConfigurationRecord> records = new ArrayList<>();
    for (int index = 0; index < MODELS; index++) {
      ServiceName service = new ServiceName(model(index).value());
      records.add(
          new ServiceRecord(
              service,
              new ServiceRecord.ModelTarget(model(index), "", ""),
              true,
              DEADLINE_MILLIS,
              DEADLINE_MILLIS));
      records.add(new PoolPolicyRecord(model(index), 1, 1, 1, 1, ""));
    }
    for (int index = 0; index < TENANTS; index++) {
      TenantName tenant = new TenantName("tenant-" + index);
      records.add(new TenantRecord(tenant, MANY, MANY, MANY_REQUESTS, MANY_REQUESTS, 1));
      ServiceName service = new ServiceName(model(index % MODELS).value());
      records.add(new RuleRecord(tenant, service, MANY, MANY, Urgency.HIGH, ""));
    }
    return records;
  }
}
