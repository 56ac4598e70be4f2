package org.fallturn.node.settings;

import java.util.List;

/**
 * Encryption of the callers' and operators' ports.
 *
 * @param keystoreFile PKCS #12 file with certificate and private key; empty serves plain HTTP
 * @param keystorePasswordFile file that holds the password of the key store
 */
public record TlsSettings(String keystoreFile, String keystorePasswordFile) {

  private static final SettingDefinition<String> KEYSTORE_FILE =
      SettingDefinition.text(
          "tls.keystore_file",
          "",
          "PKCS #12 file with certificate and private key; empty serves plain HTTP.");

  private static final SettingDefinition<String> KEYSTORE_PASSWORD_FILE =
      SettingDefinition.text(
          "tls.keystore_password_file", "", "File that holds the password of the key store.");

  static final List<SettingDefinition<?>> DEFINITIONS =
      List.of(KEYSTORE_FILE, KEYSTORE_PASSWORD_FILE);

  static TlsSettings from(SettingValues values) {
    return new TlsSettings(values.get(KEYSTORE_FILE), values.get(KEYSTORE_PASSWORD_FILE));
  }
}
