package org.fallturn.node.operators;

import java.util.List;
import java.util.function.Supplier;
import org.fallturn.core.admission.QuotaUsage;
import org.fallturn.core.domain.NodeId;
import org.fallturn.core.query.Column;
import org.fallturn.core.query.LiveRows;
import org.fallturn.core.query.LiveTable;
import org.fallturn.core.query.Row;
import org.fallturn.core.query.TableSchema;

/** What the owners of the tenants' quotas have given out of each limit. */
public final class UsageTable implements LiveTable {

  private static final TableSchema SCHEMA =
      TableSchema.of(
          "usage",
          Column.text("tenant"),
          Column.text("quota"),
          Column.text("owner"),
          Column.decimal("leased_requests_per_second"),
          Column.decimal("leased_tokens_per_second"),
          Column.decimal("leased_concurrent"),
          Column.decimal("asked_requests_per_second"),
          Column.decimal("asked_tokens_per_second"),
          Column.integer("holders"));

  private final NodeId self;
  private final Supplier<List<QuotaUsage>> usage;

  /**
   * The table on one node.
   *
   * @param usage of the tenants whose quota it owns
   */
  public UsageTable(NodeId self, Supplier<List<QuotaUsage>> usage) {
    this.self = self;
    this.usage = usage;
  }

  @Override
  public TableSchema schema() {
    return SCHEMA;
  }

  @Override
  public Scope scope() {
    return Scope.QUOTA_OWNERS;
  }

  @Override
  public LiveRows read() {
    return LiveRows.current(usage.get().stream().map(this::row).toList());
  }

  private Row row(QuotaUsage quota) {
    return Row.of(
        quota.key().tenant(),
        quota.key().value(),
        self,
        quota.leased().requests(),
        quota.leased().tokens(),
        quota.leased().concurrent(),
        quota.asked().requests(),
        quota.asked().tokens(),
        quota.holders());
  }
}
