package dev.cardamomlane.standin.sql

import java.sql.Types

/**
 * The PostgreSQL types of results and parameters.
 *
 * @property oid the number of the type in PostgreSQL's catalogue
 * @property lengthBytes the length of a value in bytes, or -1 if it varies
 */
internal enum class PgType(val oid: Int, val lengthBytes: Int) {
    BOOL(16, 1),
    BYTEA(17, -1),
    INT8(20, 8),
    INT2(21, 2),
    INT4(23, 4),
    TEXT(25, -1),
    FLOAT4(700, 4),
    FLOAT8(701, 8),
    VARCHAR(1043, -1),
    DATE(1082, 4),
    TIME(1083, 8),
    TIMESTAMP(1114, 8),
    TIMESTAMPTZ(1184, 8),
    NUMERIC(1700, -1),
    UUID(2950, 16),
    ;

    companion object {
        private const val DECFLOAT = 2015
        private val byOid = entries.associateBy(PgType::oid)

        /** The type with [oid], or [TEXT] if it is not among these types. */
        fun ofOid(oid: Int): PgType = byOid[oid] ?: TEXT

        /**
         * The type for a column or parameter of the engine.
         *
         * @param sqlType the JDBC type, a constant of [Types] or of the engine
         * @param typeName the engine's name of the type
         */
        fun ofSqlType(sqlType: Int, typeName: String): PgType = when (sqlType) {
            Types.BOOLEAN, Types.BIT -> BOOL
            Types.BINARY, Types.VARBINARY, Types.BLOB -> if (typeName.equals("UUID", ignoreCase = true)) UUID else BYTEA
            Types.BIGINT -> INT8
            Types.SMALLINT, Types.TINYINT -> INT2
            Types.INTEGER -> INT4
            Types.REAL -> FLOAT4
            Types.FLOAT, Types.DOUBLE -> FLOAT8
            Types.VARCHAR, Types.CHAR -> VARCHAR
            Types.DATE -> DATE
            Types.TIME -> TIME
            Types.TIMESTAMP -> TIMESTAMP
            Types.TIMESTAMP_WITH_TIMEZONE -> TIMESTAMPTZ
            Types.NUMERIC, Types.DECIMAL, DECFLOAT -> NUMERIC
            else -> TEXT
        }
    }
}
