package org.fallturn.node.metrics;

import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.encoder.PatternLayoutEncoder;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.Appender;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.FileAppender;
import ch.qos.logback.core.encoder.Encoder;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicReference;
import org.fallturn.node.settings.LogFormat;
import org.fallturn.node.settings.LogLevel;
import org.slf4j.LoggerFactory;

/**
 * Configures Logback in code, with a single appender: to standard error, to a file, or through a
 * queue to standard output. A process calls one of the {@code apply} methods once, before anything
 * logs.
 */
public final class LogSetup {

  private static final String PATTERN = "%d{HH:mm:ss.SSS} %-5level [%thread] %msg %kvp{NONE}%n%ex";

  private static final int QUEUE_SIZE = 2_048;
  private static final AtomicReference<LogQueue> QUEUE = new AtomicReference<>();

  private LogSetup() {}

  /**
   * Replaces the current configuration by one that logs to standard error. The logging thread
   * writes the line itself.
   *
   * @param format text or JSON lines
   * @param level lowest level that is written
   */
  public static void apply(LogFormat format, LogLevel level) {
    LoggerContext context = emptyContext();
    install(context, level, console(context, "System.err", format));
  }

  /**
   * Replaces the current configuration by one that logs lines of text to a file. The logging thread
   * writes the line itself.
   *
   * @param file the log file
   * @param level lowest level that is written
   */
  public static void applyFile(Path file, LogLevel level) {
    LoggerContext context = emptyContext();
    FileAppender<ILoggingEvent> appender = new FileAppender<>();
    appender.setContext(context);
    appender.setFile(file.toString());
    appender.setEncoder(encoder(context, LogFormat.TEXT));
    appender.start();
    install(context, level, appender);
  }

  /**
   * Replaces the current configuration by one that logs a JSON object per line to standard output.
   * A separate thread writes the lines. If the reader of the output stalls, lines are dropped once
   * the bounded queue is full, but logging threads never wait.
   *
   * @param level lowest level that is written
   */
  public static void applyStructured(LogLevel level) {
    LoggerContext context = emptyContext();
    LogQueue queue = new LogQueue(QUEUE_SIZE);
    queue.setContext(context);
    queue.addAppender(console(context, "System.out", LogFormat.JSON));
    queue.start();
    install(context, level, queue);
    QUEUE.set(queue);
  }

  /**
   * Writes the lines that are left in the queue, within a time limit, and discards all later lines.
   * Does nothing if lines are not queued. For a process that is about to end.
   */
  public static void finish() {
    LogQueue queue = QUEUE.getAndSet(null);
    if (queue != null) {
      queue.stop();
    }
  }

  /**
   * Returns the number of lines dropped since the last call. Returns 0, and keeps counting, while
   * the queue has no room for a line that reports the number; also 0 if lines are not queued.
   */
  public static long takeDroppedLines() {
    LogQueue queue = QUEUE.get();
    return queue == null || !queue.hasRoom() ? 0 : queue.takeDropped();
  }

  private static LoggerContext emptyContext() {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.reset();
    return context;
  }

  private static ConsoleAppender<ILoggingEvent> console(
      LoggerContext context, String target, LogFormat format) {
    ConsoleAppender<ILoggingEvent> appender = new ConsoleAppender<>();
    appender.setContext(context);
    appender.setTarget(target);
    appender.setEncoder(encoder(context, format));
    appender.start();
    return appender;
  }

  private static void install(
      LoggerContext context, LogLevel level, Appender<ILoggingEvent> appender) {
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.WARN);
    root.addAppender(appender);
    setLevel(level);
  }

  /** Sets the lowest level that is written for this project's loggers. */
  public static void setLevel(LogLevel level) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.getLogger("org.fallturn").setLevel(Level.valueOf(level.name()));
  }

  /** Omits fields that have the same value in every line, since writing them costs CPU time. */
  private static void omitConstantFields(JsonEncoder encoder) {
    encoder.setWithContext(false);
    encoder.setWithSequenceNumber(false);
    encoder.setWithMDC(false);
    encoder.setWithMarkers(false);
  }

  private static Encoder<ILoggingEvent> encoder(LoggerContext context, LogFormat format) {
    if (format == LogFormat.JSON) {
      JsonEncoder encoder = new JsonEncoder();
      encoder.setContext(context);
      omitConstantFields(encoder);
      encoder.start();
      return encoder;
    }
    PatternLayoutEncoder encoder = new PatternLayoutEncoder();
    encoder.setContext(context);
    encoder.setPattern(PATTERN);
    encoder.start();
    return encoder;
  }
}
