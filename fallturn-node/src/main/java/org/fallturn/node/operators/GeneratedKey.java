package org.fallturn.node.operators;

/**
 * A key made by the server, shown to the operator once and stored only as its hash.
 *
 * @param table the table of its row
 * @param name whose key it is: tenant and label, or the operator
 * @param key the key in plain text
 */
public record GeneratedKey(String table, String name, String key) {

  @Override
  public String toString() {
    return "GeneratedKey[" + table + ", " + name + "]";
  }
}
