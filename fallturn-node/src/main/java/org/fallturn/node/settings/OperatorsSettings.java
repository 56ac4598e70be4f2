package org.fallturn.node.settings;

import java.util.List;
import org.fallturn.core.domain.NetworkAddress;

/**
 * The port for operators and its limits.
 *
 * @param listen where operators connect; also serves health and metrics
 * @param maxThreads bound on the port's threads
 * @param maxBody largest statement
 * @param bootstrapKeyHash SHA-256 of an operator key that is accepted before any operator is
 *     configured
 */
public record OperatorsSettings(
    NetworkAddress listen, int maxThreads, DataSize maxBody, String bootstrapKeyHash) {

  private static final SettingDefinition<NetworkAddress> LISTEN =
      SettingDefinition.address(
          "operators.listen",
          "127.0.0.1:8081",
          "Where operators connect; also serves health and metrics.");

  private static final SettingDefinition<Integer> MAX_THREADS =
      SettingDefinition.integer(
          "operators.max_threads", 16, 8, 256, "Bound on the port's threads.");

  private static final SettingDefinition<DataSize> MAX_BODY =
      SettingDefinition.dataSize(
          "operators.max_body",
          DataSize.ofMebibytes(1),
          DataSize.ofKibibytes(1),
          DataSize.ofMebibytes(16),
          "Largest statement.");

  private static final SettingDefinition<String> BOOTSTRAP_KEY_HASH =
      SettingDefinition.sha256(
          "operators.bootstrap_key_hash",
          "SHA-256 of an operator key that is accepted before any operator is configured.");

  static final List<SettingDefinition<?>> DEFINITIONS =
      List.of(LISTEN, MAX_THREADS, MAX_BODY, BOOTSTRAP_KEY_HASH);

  static OperatorsSettings from(SettingValues values) {
    return new OperatorsSettings(
        values.get(LISTEN),
        values.get(MAX_THREADS),
        values.get(MAX_BODY),
        values.get(BOOTSTRAP_KEY_HASH));
  }
}
