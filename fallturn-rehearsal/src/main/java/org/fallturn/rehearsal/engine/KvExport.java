package org.fallturn.rehearsal.engine;

/**
 * Answer of {@code GET /v1/kv/{handle}}: what the KV cache behind a handle holds. Only its size
 * travels.
 *
 * @param kvHandle the handle
 * @param promptHash hash of scope, model, adapter and prompt, so that an importer never takes
 *     another prompt's cache
 * @param promptTokens tokens it covers
 * @param kvBytes its size
 */
public record KvExport(String kvHandle, long promptHash, int promptTokens, long kvBytes) {

  private static final long FNV_OFFSET = 0xcbf29ce484222325L;
  private static final long FNV_PRIME = 0x100000001b3L;

  /** Hash of what a KV cache depends on. */
  public static long promptHash(String cacheScope, String model, String adapter, String prompt) {
    long hash = FNV_OFFSET;
    for (String part : new String[] {cacheScope, model, adapter, prompt}) {
      for (int index = 0; index < part.length(); index++) {
        hash = (hash ^ part.charAt(index)) * FNV_PRIME;
      }
      hash = (hash ^ Character.MAX_VALUE) * FNV_PRIME;
    }
    return hash;
  }
}
