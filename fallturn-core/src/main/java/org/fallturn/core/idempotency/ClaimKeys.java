package org.fallturn.core.idempotency;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import org.fallturn.core.domain.ServiceName;
import org.fallturn.core.domain.TenantName;
import org.fallturn.core.port.table.RowKey;

/**
 * Names the row of a claim. Tenant, service and key are hashed together with their lengths, so that
 * no tenant's key can ever name another tenant's row.
 */
public final class ClaimKeys {

  /** The table that holds all claims. */
  public static final String TABLE = "idempotency";

  private ClaimKeys() {}

  /** The row of a tenant's key at a service. */
  public static RowKey row(TenantName tenant, ServiceName service, String idempotencyKey) {
    MessageDigest digest = sha256();
    update(digest, tenant.value());
    update(digest, service.value());
    update(digest, idempotencyKey);
    return new RowKey(TABLE, HexFormat.of().formatHex(digest.digest()));
  }

  private static void update(MessageDigest digest, String part) {
    byte[] bytes = part.getBytes(StandardCharsets.UTF_8);
    digest.update((bytes.length + ":").getBytes(StandardCharsets.UTF_8));
    digest.update(bytes);
  }

  private static MessageDigest sha256() {
    try {
      return MessageDigest.getInstance("SHA-256");
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java runtime has SHA-256", e);
    }
  }
}
