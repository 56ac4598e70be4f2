package org.fallturn.rehearsal.engine;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/** KV caches kept for export, for a bounded time and in a bounded number. Not thread-safe. */
final class KvStore {

  private static final int MAX_HANDLES = 4096;

  private final long keepNanos;
  private final LinkedHashMap<String, Entry> entries = new LinkedHashMap<>();

  private record Entry(KvExport export, long untilNanos) {}

  KvStore(long keepNanos) {
    this.keepNanos = keepNanos;
  }

  void put(KvExport export, long nowNanos) {
    forgetOld(nowNanos);
    entries.put(export.kvHandle(), new Entry(export, nowNanos + keepNanos));
  }

  Optional<KvExport> get(String kvHandle, long nowNanos) {
    forgetOld(nowNanos);
    return Optional.ofNullable(entries.get(kvHandle)).map(Entry::export);
  }

  void clear() {
    entries.clear();
  }

  private void forgetOld(long nowNanos) {
    var oldest = entries.entrySet().iterator();
    while (oldest.hasNext()) {
      Map.Entry<String, Entry> entry = oldest.next();
      boolean expired = entry.getValue().untilNanos() - nowNanos <= 0;
      if (!expired && entries.size() < MAX_HANDLES) {
        return;
      }
      oldest.remove();
    }
  }
}
