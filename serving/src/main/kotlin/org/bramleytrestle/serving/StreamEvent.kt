package org.bramleytrestle.serving

/** One whole event of a stream: its number, if it has one, and its bytes. */
public class StreamEvent(public val number: Long?, public val bytes: ByteArray)
