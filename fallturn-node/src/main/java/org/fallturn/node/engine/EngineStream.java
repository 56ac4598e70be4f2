package org.fallturn.node.engine;

/** A stream of tokens being read from an engine. Thread-safe. */
public interface EngineStream {

  /** Reads on after {@link EngineStreamListener#onReadDone()}. Without it nothing more is read. */
  void resume();

  /** Drops the stream and its connection. */
  void abort();
}
