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
 * Sets Logback up from the settings: one appender on standard error, as text or JSON lines. Called
 * once, before anything else logs.
 */
public final class LogSetup {

  private static final String PATTERN = "%d{HH:mm:ss.SSS} %-5level [%thread] %msg %kvp{NONE}%n%ex";

  private static final int QUEUE_SIZE = 2_048;
  private static final AtomicReference<LogQueue> QUEUE = new AtomicReference<>();

  private LogSetup() {}

  /** Replaces the present set-up: lines on standard error, written by whoever logs. */
  public static void apply(LogFormat format, LogLevel level) {
    LoggerContext context = emptyContext();
    install(context, level, console(context, "System.err", format));
  }

  /** Replaces the present set-up: lines of text in a file, written by whoever logs. */
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
   * One JSON object a line on standard output, written by a thread of its own. A reader that does
   * not read costs lines, never time: what the bounded queue cannot take is dropped.
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
   * Writes what waits in the queue, for as long as a reader takes it, and then no more. For a
   * process that is about to end.
   */
  public static void finish() {
    LogQueue queue = QUEUE.getAndSet(null);
    if (queue != null) {
      queue.stop();
    }
  }

  /**
   * Lines that were dropped since the last call, once there is room to say so; 0 otherwise, and
   * where lines are not queued.
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

  /** Changes the lowest level that is written. */
  public static void setLevel(LogLevel level) {
    LoggerContext context = (LoggerContext) LoggerFactory.getILoggerFactory();
    context.getLogger("org.fallturn").setLevel(Level.valueOf(level.name()));
  }

  /** Writing a line takes processor time, and these fields say the same on each. */
  private static void leaveOutWhatEveryLineRepeats(JsonEncoder encoder) {
    encoder.setWithContext(false);
    encoder.setWithSequenceNumber(false);
    encoder.setWithMDC(false);
    encoder.setWithMarkers(false);
  }

  private static Encoder<ILoggingEvent> encoder(LoggerContext context, LogFormat format) {
    if (format == LogFormat.JSON) {
      JsonEncoder encoder = new JsonEncoder();
      encoder.setContext(context);
      leaveOutWhatEveryLineRepeats(encoder);
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
